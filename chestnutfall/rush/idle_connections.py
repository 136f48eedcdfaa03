"""Idle connections of a server that ends."""

from __future__ import annotations

from aiohttp.web_server import Server

READ_S = 0.05
"""Time in which a server that ends reads what has come; some turns of a busy event loop."""


def pause_idle(server: Server) -> None:
    """Read nothing more from the connections of a server that wait for a request.

    aiohttp reads on from a connection that it is about to close and drops what it reads: the client
    of a request would get neither an answer nor a reset, and could not tell that it was not read.
    """
    for conn in server.connections:
        is_idle = conn._waiter is not None and not conn._waiter.done()
        if is_idle and conn.transport is not None:
            conn.transport.pause_reading()
