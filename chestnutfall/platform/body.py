"""Reading a request's body up to a bound."""

from __future__ import annotations

from aiohttp import web


async def read_body(request: web.BaseRequest, most_bytes: int) -> bytes | None:
    """The whole body; None when it is longer than `most_bytes`."""
    # aiohttp's own reading stops at 1 MB, whatever the server allows. Symptom: a configuration
    # of some thousand routes is refused for good.
    body = bytearray()
    async for data in request.content.iter_any():
        body += data
        if len(body) > most_bytes:
            return None
    return bytes(body)
