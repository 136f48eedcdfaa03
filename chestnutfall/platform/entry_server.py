"""HTTP server of a gateway, for clients and the platform's load balancer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from contextlib import ExitStack
from functools import partial

from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.web_protocol import RequestPayloadError
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse

from ..accounts import AccountFull, ProcessAccount
from ..clock import Clock
from ..forwarding.call import Call
from ..forwarding.caller_reply import CallerGone
from ..forwarding.drain import Drainable
from ..forwarding.ended_reply import EndedReply
from ..forwarding.forgotten_frames import forget_frames
from ..forwarding.forwarder import Forwarder
from ..forwarding.request_end import Refused
from ..forwarding.request_ends import RequestEnds
from ..routes import DocumentLimits
from ..rush import ConnectionGate, GatedServer, KeptLimits
from ..wire.bounded_connection import FULL, FULL_RETRY_MS, BoundedServer
from ..wire.peer_closed import is_closed_by_peer
from ..wire.request_body import read_body
from . import header_names as names
from .accepted_listening import AcceptedListener, listen_accepted
from .call_reader import deadline_ms, read_call
from .client_reply import ClientReply
from .lingering_close import linger
from .unreadable_request import UnreadableRequest

log = logging.getLogger(__name__)
END_WITHIN_MS = 200
"""Time for the ends of requests that are still in progress to reach their clients, a part of the
time that the drain leaves for closing connections."""
POLL_MS = 10
READY_PATH = "/v1/ready"


class EntryServer(Drainable):
    """Decodes each HTTP request to a call and passes it to the forwarder.

    Readiness for the load balancer is served on an address of its own. The gateway is ready if
    `is_ready` holds and it is not leaving.

    Parameters
    ----------
    is_ready : callable
        Whether the gateway can serve clients.
    limits : callable
        Returns the limits in force for requests.
    gate : ConnectionGate
        Decides which new connections of clients are taken.
    kept : KeptLimits
        How long clients may keep a connection without a request.
    account : ProcessAccount
        What connections, requests and answers draw from.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        is_ready: Callable[[], bool],
        limits: Callable[[], DocumentLimits],
        gate: ConnectionGate,
        kept: KeptLimits,
        clock: Clock,
        ends: RequestEnds,
        account: ProcessAccount,
    ) -> None:
        self._forwarder = forwarder
        self._is_ready = is_ready
        self._limits = limits
        self._gate = gate
        self._kept = kept
        self._clock = clock
        self._ends = ends
        self._account = account
        self._in_progress = 0
        self._leaving = False
        self._stopping = asyncio.Event()
        self._caller_runner: AcceptedListener | None = None
        self._ready_runner: AcceptedListener | None = None

    def calls_in_progress(self) -> int:
        if self._in_progress or self._caller_runner is None:
            return self._in_progress
        # The end of an answer may lie here for a client that reads slowly; it would go with the
        # process.
        return self._caller_runner.undelivered

    def announce_leaving(self) -> None:
        self._leaving = True

    def refuse_new(self) -> None:
        self._forwarder.refuse_new()

    async def start(self, caller_address: str, ready_address: str) -> None:
        """Listen for clients and for the load balancer."""
        caller_server = GatedServer(
            self._on_request,
            self._gate,
            self._account,
            self._kept,
            self._line_bytes,
            access_log=None,
            handler_cancellation=True,
            # Upstreams get the bytes that the client sent, with its `Content-Encoding`.
            auto_decompress=False,
        )
        ready_server = BoundedServer(self._on_ready, self._account, access_log=None)
        self._caller_runner = listen_accepted(caller_server, caller_address)
        self._ready_runner = listen_accepted(ready_server, ready_address)

    def _line_bytes(self) -> int:
        """Return the longest line in the head of a request, on a connection that opens now."""
        # A limit that shrinks stays as it was: a head that is refused as too long is never sent
        # again, and clients go by the document that they know.
        return max(self._limits().max_header_bytes, DocumentLimits().max_header_bytes)

    async def stop(self) -> None:
        """Close every connection; requests that are still in progress end before."""
        self._forwarder.end_running()
        until_ms = self._clock.now_ms() + END_WITHIN_MS
        while self._in_progress and self._clock.now_ms() < until_ms:
            await self._clock.sleep_ms(POLL_MS)
        self._stopping.set()
        for runner in (self._caller_runner, self._ready_runner):
            if runner is not None:
                await runner.cleanup()

    async def _on_ready(self, request: BaseRequest) -> StreamResponse:
        ready = request.path == READY_PATH and not self._leaving and self._is_ready()
        return Response(status=200 if ready else 503)

    async def _on_request(self, request: BaseRequest) -> StreamResponse:
        arrived_ms = self._clock.now_ms()
        self._in_progress += 1
        try:
            response = await self._answer(request, arrived_ms)
        finally:
            self._in_progress -= 1
        if not response.keep_alive:
            await linger(request, self._clock, self._stopping)
        return response

    async def _answer(self, request: BaseRequest, arrived_ms: int) -> StreamResponse:
        reply = ClientReply(request, self._leaving, self._stopping.is_set)
        with ExitStack() as stack:
            try:
                call = await self._read(request, reply, arrived_ms)
                _count(stack, self._account)
            except (Exception, asyncio.CancelledError) as exc:
                await self._end_unread(request, arrived_ms, reply, exc)
            else:
                await self._forwarder.serve(call, reply)
        return reply.response or _unanswered(request)

    async def _end_unread(
        self, request: BaseRequest, arrived_ms: int, reply: ClientReply, exc: BaseException
    ) -> None:
        request_id = request.headers.get(names.REQUEST_ID, "")
        try:
            await self._ends.run(request_id, arrived_ms, reply, partial(_end_unread, exc))
        finally:
            forget_frames(exc)
            del exc

    async def _read(self, request: BaseRequest, reply: ClientReply, arrived_ms: int) -> Call:
        """Read and decode a request.

        Raises
        ------
        UnreadableRequest
            When it is too long or breaks a protocol.
        CallerGone
            When the client closes its connection in its request.
        """
        max_bytes = self._limits().max_body_bytes
        await reply.ask_for_body()
        try:
            reading = read_body(request, max_bytes)
            body = await self._clock.within_ms(_deadline_ms(request), reading)
        except AccountFull as exc:
            raise _full(exc) from exc
        except TimeoutError as exc:
            raise UnreadableRequest(408, "body_late", "no whole body before the deadline") from exc
        except (RequestPayloadError, HttpProcessingError) as exc:
            raise UnreadableRequest(400, "malformed_body", str(exc)) from exc
        except ConnectionError as exc:
            if reply.is_gone():
                raise CallerGone("the client closed its connection in its request") from exc
            raise
        if body is None:
            raise UnreadableRequest(413, "body_too_large", f"body beyond {max_bytes} bytes")
        try:
            return read_call(request, body, arrived_ms)
        except ValueError as exc:
            raise _malformed_header(exc) from exc


def _count(stack: ExitStack, account: ProcessAccount) -> None:
    """Count a request as sent on until `stack` is closed."""
    try:
        stack.enter_context(account.call())
    except AccountFull as exc:
        raise _full(exc) from exc


def _full(exc: AccountFull) -> UnreadableRequest:
    return UnreadableRequest(503, FULL, str(exc), FULL_RETRY_MS)


def _deadline_ms(request: BaseRequest) -> int:
    try:
        return deadline_ms(request)
    except ValueError as exc:
        raise _malformed_header(exc) from exc


def _unanswered(request: BaseRequest) -> Response:
    """Return the response to a request that got none; it isn't written for a client that left."""
    transport = request.transport
    # A client that only closed its own direction would take the response for an answer.
    if transport is not None and is_closed_by_peer(transport):
        transport.abort()
    return Response(status=503)


def _malformed_header(exc: ValueError) -> UnreadableRequest:
    return UnreadableRequest(400, "malformed_header", f"malformed header: {exc}")


async def _end_unread(exc: BaseException, answer: EndedReply) -> None:
    """End a request that could not be read."""
    if not isinstance(exc, UnreadableRequest):
        raise exc
    log.info("call: not readable: %s", exc)
    await answer.refuse(Refused(exc.status, exc.reason, retry_after_ms=exc.retry_after_ms))
