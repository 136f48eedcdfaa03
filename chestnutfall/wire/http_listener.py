"""Listening for HTTP connections."""

from __future__ import annotations

from aiohttp import web

from ..settings.host_port import split_address

DEFAULT_BACKLOG = 128
"""Default of aiohttp for the queue of connections not yet accepted."""


async def listen(
    runner: web.AppRunner | web.ServerRunner,
    address: str,
    backlog: int = DEFAULT_BACKLOG,
) -> None:
    """Serve `runner` on `address`, an IP and port, until the runner is cleaned up."""
    await runner.setup()
    ip, port = split_address(address)
    await web.TCPSite(runner, ip, port, backlog=backlog).start()
