"""Reading a whole answer that another process may write without end."""

from __future__ import annotations

import aiohttp


async def read_at_most(resp: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the whole body of an answer.

    Raises
    ------
    aiohttp.ClientPayloadError
        When it is longer than `max_bytes`; the rest isn't read.
    """
    body = bytearray()
    async for data in resp.content.iter_any():
        body += data
        if len(body) > max_bytes:
            raise aiohttp.ClientPayloadError(f"an answer of more than {max_bytes} bytes")
    return bytes(body)
