"""Reading a request body up to a maximum size."""

from __future__ import annotations

from aiohttp.web_request import BaseRequest

from .bounded_connection import BoundedConnection
from .incoming_body import IncomingBody


async def read_body(request: BaseRequest, max_bytes: int) -> bytes | None:
    """Read the whole body of a request; None if it is longer than `max_bytes`.

    From its return on, the request is kept in memory until it has been answered.

    Raises
    ------
    AccountFull
        When the process may not hold it, or others need the memory.
    """
    conn = request.protocol
    assert isinstance(conn, BoundedConnection)
    body = conn.begin_body()
    try:
        return await _read(request, conn, body, max_bytes)
    finally:
        # An error refers to this frame. It lives until the refusal has been read, or until a
        # garbage collection finds it.
        body.clear()


async def _read(
    request: BaseRequest, conn: BoundedConnection, body: IncomingBody, max_bytes: int
) -> bytes | None:
    # `request.read()` of aiohttp stops at 1 MB, whatever limit the server sets: a configuration
    # of a few thousand routes would always be rejected.
    async for data in request.content.iter_any():
        body.append(data)
        if len(body) > max_bytes:
            return None
    # A body that gave way as its reader was about to go on looks whole, and empty.
    ended = request.content.exception()
    if ended is not None:
        raise ended
    conn.keep_request(len(body))
    return body.whole()
