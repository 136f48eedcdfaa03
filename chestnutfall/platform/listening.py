"""Opening a listening socket for an HTTP server."""

from __future__ import annotations

from aiohttp import web

from ..settings.address import split_address


async def listen(server: web.Server, address: str) -> web.ServerRunner:
    """Serve `server` on `address` until the runner is cleaned up."""
    runner = web.ServerRunner(server)
    await runner.setup()
    ip, port = split_address(address)
    await web.TCPSite(runner, ip, port, backlog=1024).start()
    return runner
