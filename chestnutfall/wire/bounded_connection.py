"""The server's end of HTTP connections, which holds no more than its process may."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any, cast

from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler, RequestPayloadError
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server

from ..accounts import AccountFull, Peer, ProcessAccount
from .accepting_server import AcceptingServer
from .bounded_handler import BODY_PART_BYTES, MAX_BESIDE_BYTES
from .incoming_body import IncomingBody
from .peer_closed import is_closed_by_peer
from .request_cost import (
    CALL_BYTES,
    CONNECTION_BYTES,
    PAUSED_BYTES,
    SEND_BYTES,
    body_cost,
    head_cost,
)
from .socket_buffers import (
    LONG_RECEIVE_BYTES,
    set_receive_buffer,
    unacknowledged_bytes,
    unread_bytes,
)

log = logging.getLogger(__name__)
PARSED_BYTES = 32 * 1024
"""Body that waits parsed until it is read; the library reads no more beyond twice as much."""
WRITE_BYTES = 16 * 1024
"""Part of an answer that waits for its client in the process."""
LINGER_S = 2.0
"""Time for a client to read its answer while the rest of its request is dropped."""
LONG_BODY_BYTES = 32 * 1024
"""From here on a body gets a larger buffer of the system, if there is room."""
PROGRESS_BYTES = 16 * 1024
"""Part of a body that counts as progress: a byte now and then doesn't."""
UNREAD_MS = 5_000
"""Time without a byte taken after which an answer gives way to others; a client that reads slowly
takes some ten times as often."""
BODY_IDLE_MS = 17_000
"""Time without a byte after which a body counts as given up."""
FULL_RETRY_MS = 500
"""Retry delay while the process holds all that it may; another one may have room."""
FULL = "gateway_full"


class BoundedConnection(RequestHandler, Peer):
    """Draws what it holds from the account of its process, and gives way to others.

    It also ends a connection whose peer writes without end and no request. Empty lines, chunks of
    one byte or their extensions bring nothing, and keep the processor busy for as long as the peer
    likes: three connections kept a whole one busy with chunks of one byte, and other requests
    waited for two seconds.

    Attributes
    ----------
    held : Holder
        What it has drawn; set once it is connected.
    """

    __slots__ = (
        "_account",
        "_answer_bytes",
        "_body",
        "_body_bytes",
        "_call_head_cost",
        "_has_long_buffer",
        "_head_cost",
        "_incoming",
        "_is_body_taken",
        "_is_counted",
        "_is_in_call",
        "_max_beside_bytes",
        "_noted_bytes",
        "_noted_requests",
        "_partial_bytes",
        "_queued_costs",
        "_received_bytes",
        "_seen",
        "_seen_ms",
        "_socket",
        "_unparsed",
        "_waits_for_turn",
        "held",
    )

    def __init__(self, manager: Server, account: ProcessAccount, **options: Any) -> None:
        bounds = {"read_bufsize": PARSED_BYTES, "lingering_time": LINGER_S}
        super().__init__(manager, **{**bounds, **options})
        self._account = account
        self._body: StreamReader | None = None
        self._incoming: IncomingBody | None = None
        self._is_body_taken = self._is_counted = self._is_in_call = False
        self._has_long_buffer = self._waits_for_turn = False
        self._unparsed = b""
        self._answer_bytes = self._body_bytes = self._noted_bytes = 0
        self._head_cost = self._partial_bytes = self._call_head_cost = 0
        self._queued_costs: deque[int] = deque()
        self._seen, self._seen_ms = 0, 0
        self._socket: asyncio.WriteTransport | None = None
        self._max_beside_bytes = MAX_BESIDE_BYTES + self.max_line_size
        self._noted_requests = 0
        self._received_bytes = 0
        # Requests ahead are read once those before them have been answered, all that came together.
        self._msg_queue_resume_size = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._socket = cast(asyncio.WriteTransport, transport)
        self._socket.set_write_buffer_limits(high=WRITE_BYTES)
        self._account.descriptors.clients += 1
        self._is_counted = True
        self.held = self._account.memory.holder(self._give_way)
        self._account.peers.add(self)
        self._draw()

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that the system hasn't taken, also of a connection that is closing."""
        return 0 if self._socket is None else self._socket.get_write_buffer_size()

    def connection_lost(self, exc: BaseException | None) -> None:
        self._socket = None
        self._leave()
        super().connection_lost(exc)

    def _leave(self) -> None:
        """Give back what was drawn; called as the connection ends."""
        if self._is_counted:
            self._is_counted = False
            self._account.descriptors.clients -= 1
            self._account.peers.discard(self)
        self._unparsed = b""
        self._body = self._incoming = None
        self.held.close()

    # What arrives

    def data_received(self, data: bytes) -> None:
        if not data:
            # The reader of a body lets the parser go on with what has come.
            super().data_received(data)
            if self._is_excessive() and not (self._force_close or self._close):
                self._end_excessive()
        elif self._waits_for_turn:
            self._unparsed += data
        else:
            self._take(data)

    def _take(self, data: bytes) -> None:
        turns = self._account.turns
        for at in range(0, len(data), BODY_PART_BYTES):
            was_in_body = self._is_in_body()
            if was_in_body and not turns.has_time():
                self._wait_for_turn(data[at:])
                return
            part = data[at : at + BODY_PART_BYTES]
            super().data_received(part)
            if self._force_close or self._close:
                return
            self._note_received(part, was_in_body)
            if self._is_in_body():
                turns.spend(part)
            if self._is_excessive():
                self._end_excessive()
                return
            if not self._draw():
                return
        if len(self._messages) > 1 or (self._messages and self._is_in_call):
            self._pause_reading_for_buffer()

    def _note_received(self, part: bytes, was_in_body: bool) -> None:
        if self._request_count == self._noted_requests:
            self._received_bytes += len(part)
            if not was_in_body:
                if not self._head_cost:
                    self.held.note_progress()
                self._partial_bytes += len(part)
                self._head_cost += head_cost(len(part), part.count(b"\n"))
            elif self._body is not None and self._has_progress(self._body):
                self.held.note_progress()
            return
        heads = self._request_count - self._noted_requests
        self._noted_requests = self._request_count
        self._received_bytes = self._noted_bytes = self._partial_bytes = 0
        self._body = self._messages[-1][1] if self._messages else None
        self._is_body_taken = False
        size = max(len(part) - (self._body.total_bytes if self._body is not None else 0), 0)
        cost = self._head_cost + head_cost(size, part.count(b"\n", 0, size))
        self._queued_costs.extend([cost // heads] * heads)
        self._head_cost = 0
        self.held.note_progress()

    def _has_progress(self, body: StreamReader) -> bool:
        if body.total_bytes - self._noted_bytes < PROGRESS_BYTES and not body.is_eof():
            return False
        self._noted_bytes = body.total_bytes
        return True

    @property
    def is_unfinished(self) -> bool:
        """Whether a part of a request has come, and not all of it."""
        return self._is_in_body() or bool(self._partial_bytes)

    def _is_reading_body(self) -> bool:
        """Whether the body of the request that is served, or will be next, is still coming."""
        is_next = len(self._messages) == 1 and not self._is_in_call
        return (self._incoming is not None or is_next) and self._is_in_body()

    def _is_in_body(self) -> bool:
        return self._body is not None and not self._body.is_eof()

    def _is_excessive(self) -> bool:
        if self._reading_paused:
            # What has come is parsed once the body before it has been read.
            return False
        body_bytes = 0 if self._body is None else self._body.total_bytes
        return self._received_bytes - 2 * body_bytes > self._max_beside_bytes

    def _end_excessive(self) -> None:
        self._account.memory.count("connections_closed_no_request")
        if self._is_in_body():
            # Whoever reads the body answers that it is malformed.
            self._end_body(RequestPayloadError("bytes without end that are no body"))
        else:
            self.force_close()

    # Turns

    def _wait_for_turn(self, rest: bytes) -> None:
        self._unparsed = rest
        self._waits_for_turn = True
        self._pause_transport_reading()
        self._account.turns.wait(self._read_on)

    def _read_on(self) -> None:
        data, self._unparsed = self._unparsed, b""
        self._waits_for_turn = False
        if self.transport is None or self._force_close:
            return
        self._take(data)
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        if not self._waits_for_turn:
            super()._resume_transport_reading()

    # What is drawn

    def begin_body(self) -> IncomingBody:
        """Return the buffer for the body of the request that is being served.

        It is emptied if the request gives way to others; whoever reads the body is raised
        `AccountFull` then.
        """
        self._incoming = IncomingBody()
        return self._incoming

    def keep_request(self, body_bytes: int) -> None:
        """Hold a request that came whole until it has been answered.

        Raises
        ------
        AccountFull
            When too much is kept for others.
        """
        self._incoming = None
        self._is_body_taken = True
        self._body_bytes = body_bytes + SEND_BYTES
        self.held.keep(self._size())

    def keep_answer(self, size: int) -> None:
        """Hold `size` bytes of an answer until the client has read them, if there is room.

        Raises
        ------
        AccountFull
            When too much is kept for others.
        """
        self.held.keep(self._size() + size)
        self._answer_bytes += size

    def hold_answer(self, size: int) -> None:
        """Note that `size` bytes of an answer are held for the client until it has read them."""
        if self._is_counted:
            self._answer_bytes += size
            self.held.force(self._size())

    async def wait_for_reader(self) -> None:
        """Wait until the client has read of a stream; its upstream waits meanwhile.

        Raises
        ------
        ConnectionError
            When the connection ends.
        """
        self.hold_answer(PAUSED_BYTES)
        try:
            await self._drain_helper()
        finally:
            self.hold_answer(-PAUSED_BYTES)

    def _size(self) -> int:
        size = CONNECTION_BYTES + self._head_cost + self._call_head_cost + len(self._unparsed)
        size += self._body_bytes + self._answer_bytes
        if self._queued_costs:
            size += sum(self._queued_costs)
        if self._is_in_call:
            size += CALL_BYTES
        if self._body is not None and not self._is_body_taken:
            size += body_cost(self._body.total_bytes)
        if self._has_long_buffer:
            size += unread_bytes(LONG_RECEIVE_BYTES)
        return size

    def _draw(self) -> bool:
        """Draw what is held now; False if that is too much, and this one has given way."""
        try:
            self._lengthen_buffer()
            self.held.resize(self._size())
        except AccountFull:
            if not self.held.is_kept:
                self._account.memory.make_one_give_way(self.held)
                return False
            # An upstream may run the request before this one. What comes behind it waits.
            self.held.force(self._size())
            self._pause_reading_for_buffer()
        return True

    def _lengthen_buffer(self) -> None:
        body = self._body
        if self._has_long_buffer or body is None or body.total_bytes < LONG_BODY_BYTES:
            return
        if body.is_eof() or self._account.memory.is_half_full or self.transport is None:
            return
        # It stays as long: the system drops what comes on the way as a buffer shrinks.
        self._has_long_buffer = True
        set_receive_buffer(self.transport, LONG_RECEIVE_BYTES)

    def log_exception(self, *args: Any, **options: Any) -> None:
        """Log an error of a request; those that its client has made are only counted."""
        # A line for each would let a crowd fill the log.
        match options.get("exc_info"):
            case HttpProcessingError():
                self._account.memory.count("requests_malformed")
            case ConnectionError():
                self._account.memory.count("requests_left_unread")
            case _:
                super().log_exception(*args, **options)

    async def _handle_request(
        self,
        request: BaseRequest,
        start_time: float | None,
        request_handler: Callable[[BaseRequest], Awaitable[StreamResponse]],
    ) -> tuple[StreamResponse, bool]:
        self._is_in_call = True
        self._is_body_taken = False
        if self._queued_costs:
            self._call_head_cost = self._queued_costs.popleft()
        try:
            self.held.resize(self._size())
        except AccountFull:
            request_handler = _refuse_full
        try:
            return await super()._handle_request(request, start_time, request_handler)
        finally:
            self._end_call()

    def _end_call(self) -> None:
        self._is_in_call = False
        self._incoming = None
        self._is_body_taken = True
        self._answer_bytes = self._body_bytes = self._call_head_cost = 0
        if self.transport is None:
            return
        self.held.yield_again()
        self.held.note_progress()
        self.held.force(self._size())
        if self._buffer_paused and not self._messages:
            self._resume_reading_if_drained()

    # Peers that stop

    def pause_writing(self) -> None:
        super().pause_writing()
        self.held.note_progress()

    def resume_writing(self) -> None:
        super().resume_writing()
        self.held.note_progress()
        self._keep_again()

    def look(self) -> None:
        """See whether the client still brings its request, or takes its answer."""
        transport = self.transport
        if transport is None:
            return
        if self.writing_paused:
            self._look_at_writing(transport)
        elif self._is_reading_body():
            self._look_at_body()
        elif self._buffer_paused and is_closed_by_peer(transport):
            # The end of the connection is behind what waits to be read.
            self.abort()

    def _look_at_writing(self, transport: asyncio.Transport) -> None:
        if self._has_changed(unacknowledged_bytes(transport)):
            self.held.note_progress()
            self._keep_again()
            return
        waited_ms = self._account.memory.now_ms() - self.held.progress_ms
        if waited_ms >= UNREAD_MS:
            self.held.yield_again()

    def _keep_again(self) -> None:
        """Stop giving way, as the client reads on; if there is room."""
        if self._is_body_taken and self._is_in_call and not self.held.is_kept:
            with suppress(AccountFull):
                self.held.keep(self._size())

    def _look_at_body(self) -> None:
        assert self._body is not None
        waits_for_us = self._waits_for_turn or self._reading_paused or self._buffer_paused
        now_ms = self._account.memory.now_ms()
        if self._has_changed(self._body.total_bytes + self._received_bytes) or waits_for_us:
            self._seen_ms = now_ms
        elif now_ms - self._seen_ms >= self._body_idle_ms(now_ms - self._seen_ms):
            self._account.memory.count("connections_stalled_in_body")
            self._end_body(TimeoutError("nothing more of the body came"))

    def _body_idle_ms(self, for_ms: int) -> int:
        """Return how long a body may bring nothing that has done so for `for_ms`."""
        return BODY_IDLE_MS

    def _has_changed(self, seen: int) -> bool:
        before, self._seen = self._seen, seen
        return before != seen

    # Giving way

    @property
    def state(self) -> str:
        """What the connection waits for, in a word."""
        if self._is_in_call:
            return "body" if self._is_reading_body() else "answer"
        return "head" if self._head_cost or self._queued_costs else "idle"

    def _give_way(self) -> None:
        """Free what is held, at once."""
        self._account.memory.count(f"connections_gave_way_{self.state}")
        if self._is_reading_body():
            self._end_body(AccountFull("others need the memory"))
            self.held.force(CONNECTION_BYTES + CALL_BYTES)
        else:
            self.abort()

    def _end_body(self, exc: Exception) -> None:
        """Let whoever reads the body have an error, and drop what comes of it."""
        body = self._body
        assert body is not None
        # Whoever waits for more has taken all that came.
        if body.exception() is None and body._waiter is None:
            body.read_nowait()
        if self._incoming is not None:
            self._incoming.clear()
            self._incoming = None
        self._unparsed = b""
        self._is_body_taken = True
        body.set_exception(exc)
        body.feed_eof()
        self.close()

    def abort(self) -> None:
        """Close the connection at once, whatever it waits for."""
        transport = self.transport
        if self._incoming is not None:
            self._incoming.clear()
        self._messages.clear()
        self._leave()
        if transport is not None:
            transport.abort()
        self.force_close()
        self._parser = None


class BoundedServer(AcceptingServer):
    """An HTTP server whose connections are bounded, and taken as they come."""

    def __init__(
        self,
        handler: Callable[[BaseRequest], Awaitable[StreamResponse]],
        account: ProcessAccount,
        **options: Any,
    ) -> None:
        super().__init__(handler, **options)
        self.account = account

    def __call__(self) -> BoundedConnection:
        return self.open(self)

    def admit(self) -> object:
        return self

    def open(self, record: object) -> BoundedConnection:
        return BoundedConnection(self, self.account, loop=self._loop, **self._kwargs)

    def ended(self, record: object) -> None:
        """Nothing was noted of it."""


async def _refuse_full(request: BaseRequest) -> Response:
    """Refuse a request for which there is no memory; nothing of it was passed on."""
    headers = {"Retry-After": f"{FULL_RETRY_MS / 1000:g}"}
    response = Response(status=503, headers=headers, text=FULL)
    response.force_close()
    return response
