"""`chestnutfall-plain`: a simulated plain upstream for tests and demonstrations."""

from __future__ import annotations

import asyncio
import uuid
from collections import Counter

import aiohttp
from aiohttp import web

from ..plain_edge.plain_answer import EXECUTED_HEADER, EXECUTED_NO
from ..settings.plain_settings import PlainSettings
from ..standin.announced_fields import announced_fields
from ..standin.announcer import Announcer
from ..standin.scripted_headers import ScriptedHeaders
from ..standin.scripted_silence import ScriptedSilence
from ..standin.silence import Silence
from ..wire.http_listener import listen
from .command_line import load_settings, make_parser
from .event_loop import run

TTL_MS = 1900
"""How long an announcement holds."""
ANNOUNCE_MS = 900
"""Interval of announcements; the next one comes before the TTL ends even if one is lost."""


def main() -> None:
    """Parse the command line and run one simulated upstream until SIGTERM or SIGINT."""
    cli = make_parser("chestnutfall-plain", "Stands in for a plain service; it counts its calls.")
    settings = load_settings(PlainSettings, cli.parse_args())
    run(lambda stop: _serve(settings, stop))


async def _serve(settings: PlainSettings, stop: asyncio.Event) -> int:
    """Serve until `stop`, then announce the departure.

    Every answer holds the number of calls so far for each method and path, so that a test can
    check that a request ran exactly once.
    """
    incarnation = uuid.uuid4().hex
    calls: Counter[str] = Counter()
    signals = ScriptedHeaders()

    async def answer(request: web.Request) -> web.Response:
        if signals.refuses_request():
            headers = {EXECUTED_HEADER: EXECUTED_NO}
            return web.json_response({"error": "asks for time"}, status=503, headers=headers)
        calls[f"{request.method} {request.path}"] += 1
        body = {"service": settings.name, "path": request.path, "calls": calls}
        return web.json_response(body)

    app = web.Application()
    signals.attach(app)
    ScriptedSilence(Silence()).attach(app)
    app.router.add_route("*", "/{tail:.*}", answer)
    runner = web.AppRunner(app, access_log=None)
    await listen(runner, settings.listen)
    announcer = Announcer(
        settings.announce_to,
        settings.announce_key_file,
        lambda: announced_fields(settings, incarnation, TTL_MS, stop.is_set()),
    )
    task = asyncio.ensure_future(announcer.run(ANNOUNCE_MS))
    await stop.wait()
    async with aiohttp.ClientSession(trust_env=False) as session:
        await announcer.once(session)
    task.cancel()
    await runner.cleanup()
    return 0


if __name__ == "__main__":
    main()
