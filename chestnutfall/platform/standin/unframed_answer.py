"""An answer with neither a length nor chunks, which ends with its connection."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter


class UnframedAnswer(web.StreamResponse):
    """Writes an answer to the connection itself, since aiohttp's server always frames it."""

    def __init__(self, headers: Mapping[str, str]) -> None:
        super().__init__(headers=headers)
        self._transport: Any = None

    async def prepare(self, request: web.BaseRequest) -> AbstractStreamWriter | None:
        if self._transport is None and request.transport is not None:
            self._transport = request.transport
            lines = ("HTTP/1.1 200 OK", *(f"{name}: {text}" for name, text in self.headers.items()))
            self._write("\r\n".join((*lines, "", "")).encode())
        return None

    async def write(self, data: Any) -> None:
        self._write(data)

    async def write_eof(self, data: Any = b"") -> None:
        self._write(data)
        if self._transport is not None:
            self._transport.close()

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)
