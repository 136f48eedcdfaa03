"""Bytes that a stand-in upstream in trouble writes without end in place of its answer."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from enum import Enum

from aiohttp import web

EACH_S = 0.02
"""Time from one write to the next of an upstream that trickles."""
PART_BYTES = 65_536


class Endless(Enum):
    """What is written until the caller closes the connection."""

    TRICKLE = "bytes that are no event, a few at a time"
    COMMENTS = "comments, one at a time"
    EVENT = "an event without end, a few bytes at a time"
    BODY = "a body at full speed"
    CHUNKS = "chunks of one byte at full speed"
    INTERIM_HEADS = "interim heads at full speed"


_TRICKLED = {
    Endless.TRICKLE: b"x" * 64,
    Endless.COMMENTS: b": x\n\n",
    Endless.EVENT: b"data: x\n",
}
_FLOODED = {
    Endless.BODY: b"x" * PART_BYTES,
    Endless.CHUNKS: b"1\r\nx\r\n" * (PART_BYTES // 6),
    Endless.INTERIM_HEADS: b"HTTP/1.1 102 Processing\r\n\r\n" * (PART_BYTES // 27),
}


async def write_endless(
    request: web.BaseRequest, headers: dict[str, str], kind: Endless
) -> web.StreamResponse:
    """Answer a request with bytes of a kind until its connection is closed."""
    transport = request.transport
    response = web.StreamResponse(headers=headers)
    if transport is None:
        return response
    if kind is not Endless.INTERIM_HEADS:
        await response.prepare(request)
    with suppress(ConnectionError):
        while not transport.is_closing():
            if kind in _TRICKLED:
                await response.write(_TRICKLED[kind])
                await asyncio.sleep(EACH_S)
            else:
                # Past the library's own framing.
                transport.write(_FLOODED[kind])
                await request.protocol._drain_helper()
    transport.abort()
    return response
