"""The server's end of HTTP connections on which bytes that belong to no request are few."""

from __future__ import annotations

import logging
from typing import Any

from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler, RequestPayloadError
from aiohttp.web_server import Server

from .bounded_handler import BODY_PART_BYTES, MAX_BESIDE_BYTES

log = logging.getLogger(__name__)


class BoundedConnection(RequestHandler):
    """Ends a connection whose peer writes without end and no request.

    Empty lines, chunks of one byte or their extensions bring nothing, and keep the processor busy
    for as long as the peer likes: three connections kept a whole one busy with chunks of one byte,
    and other requests waited for two seconds.
    """

    __slots__ = ("_body", "_max_beside_bytes", "_noted_requests", "_received_bytes")

    def __init__(self, manager: Server, **options: Any) -> None:
        super().__init__(manager, **options)
        self._body: StreamReader | None = None
        self._max_beside_bytes = MAX_BESIDE_BYTES + self.max_line_size
        self._noted_requests = 0
        self._received_bytes = 0

    def data_received(self, data: bytes) -> None:
        for at in range(0, len(data), BODY_PART_BYTES):
            part = data[at : at + BODY_PART_BYTES]
            super().data_received(part)
            if self._force_close or self._close:
                return
            self._note_received(len(part))
            if self._is_excessive():
                self._end_excessive()
                return
        if not data:
            # The reader of a body lets the parser go on; nothing has arrived.
            super().data_received(data)

    def _note_received(self, size: int) -> None:
        if self._request_count == self._noted_requests:
            self._received_bytes += size
            return
        self._noted_requests = self._request_count
        self._received_bytes = 0
        self._body = self._messages[-1][1] if self._messages else None

    def _is_excessive(self) -> bool:
        body_bytes = 0 if self._body is None else self._body.total_bytes
        return self._received_bytes - 2 * body_bytes > self._max_beside_bytes

    def _end_excessive(self) -> None:
        log.warning("connections: one closed, its bytes are no request")
        body = self._body
        if body is None or body.is_eof():
            self.force_close()
            return
        # Whoever reads the body answers that it is malformed.
        body.set_exception(RequestPayloadError("bytes without end that are no body"))
        body.feed_eof()
        self.close()


class BoundedServer(Server):
    """An HTTP server whose connections are bounded."""

    def __call__(self) -> RequestHandler:
        return BoundedConnection(self, loop=self._loop, **self._kwargs)
