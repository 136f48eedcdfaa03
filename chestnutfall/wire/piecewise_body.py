"""Bodies of requests that are written a piece at a time."""

from __future__ import annotations

from typing import Any

from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import Payload

PIECE_BYTES = 32 * 1024


class PiecewiseBody(Payload):
    """A body whose pieces wait until the upstream has read those before.

    The library writes a body at once and copies it together with the head of its request, so that
    an upstream which reads slowly would have it held twice.
    """

    _default_content_type = "application/octet-stream"

    def __init__(self, body: bytes) -> None:
        super().__init__(body)
        self._size = len(body)

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        text: str = self._value.decode(encoding, errors)
        return text

    async def write(self, writer: AbstractStreamWriter) -> None:
        await self.write_with_length(writer, None)

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        whole = memoryview(self._value)[:content_length]
        for at in range(0, len(whole), PIECE_BYTES):
            await writer.write(whole[at : at + PIECE_BYTES])
            await writer.drain()


def as_payload(body: bytes) -> Any:
    """Return what to send as the body of a request; None for none."""
    if len(body) <= PIECE_BYTES:
        return body or None
    return PiecewiseBody(body)
