"""Listening sockets of the platform's HTTP servers."""

from __future__ import annotations

from aiohttp import web

from ..wire.http_listener import listen as listen_on

BACKLOG = 1024
"""Connections that may wait to be accepted. A load balancer that lost half of its hosts moves their
clients to the other hosts within one second."""


async def listen(server: web.Server, address: str) -> web.ServerRunner:
    """Serve `server` on `address`, an IP and port, until the returned runner is cleaned up."""
    runner = web.ServerRunner(server)
    await listen_on(runner, address, BACKLOG)
    return runner
