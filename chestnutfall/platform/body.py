"""Reading a request body up to a maximum size."""

from __future__ import annotations

from aiohttp.web_request import BaseRequest

from ..wire.buffer_budget import Buffer, BufferBudget


async def read_body(request: BaseRequest, max_bytes: int, budget: BufferBudget) -> bytes | None:
    """Read the whole body of a request; None if it is longer than `max_bytes`.

    Raises
    ------
    BuffersFull
        When the bodies that are being read take too much memory together.
    """
    # `request.read()` of aiohttp stops at 1 MB, whatever limit the server sets: a configuration
    # of a few thousand routes would always be rejected.
    body = bytearray()
    with Buffer(budget) as held:
        async for data in request.content.iter_any():
            body += data
            if len(body) > max_bytes:
                return None
            held.resize(len(body))
    return bytes(body)
