"""One connection to an upstream."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import aiohttp
from aiohttp.http_exceptions import HttpProcessingError

from ..connections import ConnectionPool, KeptConnection
from ..connections.idle_connection import IdleConnection
from ..wire.reset_aware import ResetAwareHandler
from ..wire.socket_buffers import unacknowledged_bytes
from . import header_names as names
from .upstream_send import UpstreamSend

ACKNOWLEDGED_WITHIN_S = 0.3
"""Time after which the upstream's host should have acknowledged a request. A round trip takes a few
ms; a request that was lost on its way once is sent again after 0.2 s."""
MAX_EXTRA_BYTES = 64 * 1024
"""Longest extra answer that is skipped; usual answers are shorter, and it may have no end."""
_ARRIVED = select.POLLIN | select.POLLPRI | select.POLLRDHUP


class UpstreamConnection(ResetAwareHandler, KeptConnection):
    """aiohttp's end of a connection, which serves one request at a time and may be kept between.

    While it is kept, anything that arrives on it ends it: no request waits for an answer then.
    """

    def __init__(self, pool: ConnectionPool, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.send: UpstreamSend | None = None
        self._pool = pool
        self._idle: IdleConnection | None = None
        self._former_ids: tuple[str, ...] = ()
        self._check: asyncio.TimerHandle | None = None

    def begin(self, send: UpstreamSend, idle: IdleConnection | None) -> None:
        """Serve a send; `idle` is what the connection was kept as, None if it is new."""
        self.send = send
        self._idle = None
        if idle is not None:
            send.reused = True
            self._former_ids = idle.request_ids
            # A long body may wait for an upstream that is slow to read it.
            if send.may_keep:
                self._check = self._loop.call_later(ACKNOWLEDGED_WITHIN_S, self._check_acknowledged)

    def end_send(self) -> None:
        """Keep the connection for another send, or close it."""
        self._cancel_check()
        send = self.send
        if send is not None:
            self._idle = self._pool.keep(self, send.need, self._former_ids)

    def is_quiet(self) -> bool:
        transport = self.transport
        if transport is None or transport.is_closing():
            return False
        if self.should_close or transport.get_write_buffer_size():
            return False
        if self._reading_paused or self._buffer_paused:
            # The body of the last answer is still being read; arrivals would not be noticed.
            return False
        return not _arrivals(transport)

    async def skip_extra_answers(self) -> None:
        """Drop answers to former requests of this connection that precede the awaited one.

        An upstream may answer a request twice. The extra answer arrives where the next answer is
        expected; the awaited one follows.
        """
        send = self.send
        # An answer that can't be read is reported by the response, which reads it again.
        with suppress(HttpProcessingError):
            while send is not None and self._former_ids:
                message, payload = await self.read()
                if message.headers.get(names.REQUEST_ID) not in self._former_ids:
                    self._buffer.appendleft(((message, payload), 0))
                    return
                send.extra_answers += 1
                send.may_keep = False
                skipped = 0
                async for data in payload.iter_any():
                    skipped += len(data)
                    if skipped > MAX_EXTRA_BYTES:
                        raise aiohttp.ClientPayloadError("an extra answer that does not end")
                self.start_timeout()

    def data_received(self, data: bytes) -> None:
        if not data:
            # The reader of an earlier body lets the parser go on; nothing has arrived.
            super().data_received(data)
            return
        self._cancel_check()
        if self._end_idle(self._pool.note_arrival):
            return
        super().data_received(data)
        # The end of the answer has made the connection idle just now; more has come behind it.
        if self.should_close:
            self._end_idle(self._pool.note_arrival)

    def eof_received(self) -> None:
        self._end_idle(self._pool.note_closed)
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        self._cancel_check()
        self._end_idle(self._pool.note_closed)
        super().connection_lost(exc)

    def _end_idle(self, note: Callable[[str, IdleConnection], None]) -> bool:
        """Tell the pool that the connection is no longer kept; return whether it was."""
        idle, self._idle = self._idle, None
        if idle is None or self.send is None:
            return False
        note(self.send.need.instance, idle)
        return True

    def _cancel_check(self) -> None:
        if self._check is not None:
            self._check.cancel()
            self._check = None

    def _check_acknowledged(self) -> None:
        self._check = None
        send, transport = self.send, self.transport
        if send is None or transport is None:
            return
        if not transport.is_closing() and unacknowledged_bytes(transport):
            self._pool.note_unacknowledged(send.need, send.sent_ms)


def _arrivals(transport: asyncio.Transport) -> list[Any]:
    """Look for data, an end of file or a reset that the event loop has not read yet."""
    sock = transport.get_extra_info("socket")
    poll = select.poll()
    poll.register(sock.fileno(), _ARRIVED)
    return poll.poll(0)
