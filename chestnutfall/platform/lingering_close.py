"""Closing a client's connection behind its last answer."""

from __future__ import annotations

from collections.abc import Callable

from aiohttp.web_request import BaseRequest

from ..clock import Clock

LINGER_MS = 2_000
"""Time for a client to read its last answer and to close the connection."""
POLL_MS = 20


async def linger(request: BaseRequest, clock: Clock, is_stopping: Callable[[], bool]) -> None:
    """End the sending half of a connection, and drop what comes until the client closes it.

    A connection that is closed with bytes unread is reset, and the reset destroys the part of the
    last answer that the client has not received. A client may have sent its next request before it
    saw that the connection ends.
    """
    transport = request.transport
    if transport is None or transport.is_closing() or not request.content.is_eof():
        return
    # From now on, aiohttp's protocol drops what it reads, and it reads all.
    request.protocol.close()
    transport.resume_reading()
    transport.write_eof()
    until_ms = clock.now_ms() + LINGER_MS
    while not is_stopping() and not transport.is_closing() and clock.now_ms() < until_ms:
        await clock.sleep_ms(POLL_MS)
