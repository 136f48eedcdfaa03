"""HTTP connections on which bytes that belong to no answer are few."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
from aiohttp.helpers import set_exception
from aiohttp.streams import StreamReader

from .answer_heads import continues_line, head_problem, is_interim
from .lazy_read_timeout import LazyReadTimeout
from .resets import reset
from .socket_buffers import UPSTREAM_RECEIVE_BYTES, set_receive_buffer

MAX_BESIDE_BYTES = 64 * 1024
"""Bytes of an answer beside its body and as many again: head, sizes of chunks, trailers. Several
times the longest head in use."""
MAX_HEADS = 8
"""Heads that wait to be read, interim ones such as 102 included."""
HEAD_PART_BYTES, BODY_PART_BYTES = 2 * 1024, 16 * 1024
"""Bytes that are parsed at once, before the body and in it: a head of 27 bytes takes 0.2 ms."""


class BoundedHandler(LazyReadTimeout):
    """Ends a connection whose peer writes without end and no answer, or a malformed one.

    Interim heads, empty lines, chunks of one byte or their extensions bring the reader nothing. The
    library parses all that one read returns at once: 10,000 interim heads stop every other request
    of the process for two seconds, and hold 60 MB.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._received_bytes = 0
        self._former_payload: Any = None
        self._last_byte = b""
        self._was_interim = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        set_receive_buffer(transport, UPSTREAM_RECEIVE_BYTES)

    def set_response_params(self, **options: Any) -> None:
        """Begin to count; called before each request."""
        self._received_bytes = 0
        self._former_payload = self._payload
        self._last_byte = b""
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        at = 0
        while at < len(data):
            size = BODY_PART_BYTES if self._is_in_body() else HEAD_PART_BYTES
            part = data[at : at + size]
            at += size
            self._received_bytes += len(part)
            if size == HEAD_PART_BYTES and self._has_continued_line(part):
                self._end_with("a line of a head that begins with a blank")
                return
            super().data_received(part)
            if self.transport is None or self.transport.is_closing():
                return
            if self._was_interim:
                # The library takes the interim head for the answer, and waits for no other.
                self._was_interim = False
                self._reschedule_timeout()
            if self._is_excessive():
                self._end_excessive()
                return
        if not data:
            # The reader of a body lets the parser go on with what has come.
            super().data_received(data)
            if self._is_excessive():
                self._end_excessive()

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Take a head that was parsed, and the body that follows it."""
        message, _ = data
        if problem := head_problem(message):
            self._end_with(problem)
            return
        self._was_interim = is_interim(message.code)
        super().feed_data(data, size)

    def _has_continued_line(self, part: bytes) -> bool:
        before, self._last_byte = self._last_byte, part[-1:]
        return continues_line(before, part)

    @property
    def _body(self) -> StreamReader | None:
        """The body of the answer that is being received; None before its head."""
        return None if self._payload is self._former_payload else self._payload

    def _is_in_body(self) -> bool:
        return self._body is not None and not self._body.is_eof()

    def _is_excessive(self) -> bool:
        if len(self._buffer) > MAX_HEADS:
            return True
        if self._reading_paused:
            # What has come is parsed once the body before it has been read.
            return False
        body_bytes = 0 if self._body is None else self._body.total_bytes
        # A long stream of short events has as many bytes beside its body as in it at most.
        return self._received_bytes - 2 * body_bytes > MAX_BESIDE_BYTES

    def _end_excessive(self) -> None:
        self._end_with("bytes without end that are no answer")

    def _end_with(self, problem: str) -> None:
        exc = aiohttp.ClientPayloadError(problem)
        self._buffer.clear()
        payload = self._payload
        if payload is not None and not payload.is_eof():
            set_exception(payload, exc)
        self.set_exception(exc)
        if self.transport is not None:
            reset(self.transport)
