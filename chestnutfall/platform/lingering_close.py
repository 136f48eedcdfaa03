"""Closing a client's connection behind its last answer."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from aiohttp.web_request import BaseRequest

from ..clock import Clock
from ..wire.bounded_connection import BoundedConnection

LINGER_MS = 2_000
"""Time for a client to read its last answer and to close the connection."""


async def linger(request: BaseRequest, clock: Clock, stopping: asyncio.Event) -> None:
    """End the sending half of a connection, and drop what comes until the client closes it.

    A connection that is closed with bytes unread is reset, and the reset destroys the part of the
    last answer that the client has not received. A client may have sent its next request before it
    saw that the connection ends.

    The end of the connection cancels the handler of its request, and with it this wait.
    """
    transport = request.transport
    if transport is None or transport.is_closing() or not request.content.is_eof():
        return
    conn = request.protocol
    if isinstance(conn, BoundedConnection):
        conn.held.yield_again()
    # From now on, aiohttp's protocol drops what it reads, and it reads all.
    request.protocol.close()
    transport.resume_reading()
    transport.write_eof()
    with suppress(TimeoutError):
        await clock.within_ms(LINGER_MS, _wait_for(stopping))


async def _wait_for(event: asyncio.Event) -> None:
    await event.wait()
