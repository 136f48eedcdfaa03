"""Opening a listening socket for an HTTP server."""

from __future__ import annotations

from aiohttp import web

from ..wire.http_listener import listen as listen_on

BACKLOG = 1024
"""A balancer that lost half of its hosts sends their clients to the others within one second."""


async def listen(server: web.Server, address: str) -> web.ServerRunner:
    """Serve `server` on `address` until the runner is cleaned up."""
    runner = web.ServerRunner(server)
    await listen_on(runner, address, BACKLOG)
    return runner
