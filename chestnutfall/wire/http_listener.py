"""Listening for HTTP on one address."""

from __future__ import annotations

from aiohttp import web

from ..settings.host_port import split_address

USUAL_BACKLOG = 128
"""aiohttp's own default."""


async def listen(
    runner: web.AppRunner | web.ServerRunner,
    address: str,
    backlog: int = USUAL_BACKLOG,
) -> None:
    """Serve `runner` on `address`, an IP and port, until it is cleaned up."""
    await runner.setup()
    ip, port = split_address(address)
    await web.TCPSite(runner, ip, port, backlog=backlog).start()
