"""`chestnutfall-engine`: a simulated engine for tests and demonstrations."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
from aiohttp import web

from ..settings.engine_settings import EngineSettings
from ..standin.announced_fields import announced_fields
from ..standin.announcer import Announcer
from ..standin.engine_app import EngineApp
from ..standin.engine_core import EngineCore
from ..wire.http_listener import listen
from .command_line import load_settings, make_parser
from .event_loop import run


def main() -> None:
    """Parse the command line and run one simulated engine until SIGTERM or SIGINT."""
    cli = make_parser("chestnutfall-engine", "Stands in for a model engine with few adapter slots.")
    settings = load_settings(EngineSettings, cli.parse_args())
    run(lambda stop: _serve(settings, stop))


def _announcement(settings: EngineSettings, core: EngineCore, leaving: bool) -> dict[str, Any]:
    return {
        **announced_fields(settings, core.incarnation, settings.ttl_ms, leaving),
        "fencing": settings.fencing,
        "slots": settings.slots,
        "running": len(core.running()),
    }


async def _serve(settings: EngineSettings, stop: asyncio.Event) -> int:
    """Serve until `stop`, then announce the departure and finish the requests in progress."""
    core = EngineCore(
        settings.slots,
        settings.load_ms,
        settings.step_ms,
        settings.batch,
        settings.fencing == "checked",
    )
    app = EngineApp(core)
    runner = web.AppRunner(app.build(), handler_cancellation=False, access_log=None)
    await listen(runner, settings.listen)
    announcer = Announcer(
        settings.announce_to,
        settings.announce_key_file,
        lambda: _announcement(settings, core, app.leaving),
    )
    tasks = [
        asyncio.ensure_future(core.step_forever()),
        asyncio.ensure_future(announcer.run(settings.announce_ms)),
    ]
    await stop.wait()
    app.leaving = True
    async with aiohttp.ClientSession(trust_env=False) as session:
        await announcer.once(session)
    while core.running():
        await asyncio.sleep(0.02)
    for task in tasks:
        task.cancel()
    await runner.cleanup()
    return 0


if __name__ == "__main__":
    main()
