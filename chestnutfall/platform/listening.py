"""Listening sockets of the platform's HTTP servers."""

from __future__ import annotations

import asyncio

from aiohttp.web_server import Server

from ..rush.idle_connections import READ_S, pause_idle
from ..settings.host_port import split_address

BACKLOG = 1024
"""Connections that may wait to be accepted. A load balancer that lost half of its hosts moves their
clients to the other hosts within one second."""
CLOSE_TIMEOUT_S = 60.0
"""How long requests in progress may run after their listener is closed."""


class Listener:
    """A listening socket of an HTTP server.

    It does the part of aiohttp's `ServerRunner` that a server without an application needs, since
    importing that class imports aiohttp's application and routing as well.

    Attributes
    ----------
    addresses : list of tuple
        IP and port that it listens on, also when the address asked for any free port.
    """

    def __init__(self, server: Server, sockets: asyncio.Server) -> None:
        self._server = server
        self._sockets = sockets
        self.addresses = [one.getsockname() for one in sockets.sockets]

    async def cleanup(self) -> None:
        """Stop listening, close idle connections, and wait for the requests in progress."""
        self._sockets.close()
        await end_connections(self._server, CLOSE_TIMEOUT_S)


async def end_connections(server: Server, timeout_s: float) -> None:
    """Close the idle connections of a server, and wait for the requests in progress."""
    # What has come is read first; its connections would count as idle otherwise.
    await asyncio.sleep(READ_S)
    pause_idle(server)
    server.pre_shutdown()
    await server.shutdown(timeout_s)


async def listen(server: Server, address: str) -> Listener:
    """Serve `server` on `address`, an IP and port, until the returned listener is cleaned up."""
    ip, port = split_address(address)
    loop = asyncio.get_running_loop()
    return Listener(server, await loop.create_server(server, ip, port, backlog=BACKLOG))
