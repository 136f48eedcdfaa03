"""HTTP server of a gateway, for clients and the platform's load balancer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server

from ..clock import Clock
from ..forwarding.drain import Drainable
from ..forwarding.forwarder import Forwarder
from ..routes import DocumentLimits
from ..rush import ConnectionGate, GatedServer, KeptLimits
from .body import read_body
from .call_reader import read_call
from .client_reply import ClientReply
from .gated_listening import GatedListener, listen_gated
from .listening import Listener, listen

log = logging.getLogger(__name__)
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
    """

    def __init__(
        self,
        forwarder: Forwarder,
        is_ready: Callable[[], bool],
        limits: Callable[[], DocumentLimits],
        gate: ConnectionGate,
        kept: KeptLimits,
        clock: Clock,
    ) -> None:
        self._forwarder = forwarder
        self._is_ready = is_ready
        self._limits = limits
        self._gate = gate
        self._kept = kept
        self._clock = clock
        self._in_progress = 0
        self._leaving = False
        self._caller_runner: GatedListener | None = None
        self._ready_runner: Listener | None = None

    def calls_in_progress(self) -> int:
        return self._in_progress

    def announce_leaving(self) -> None:
        self._leaving = True

    def refuse_new(self) -> None:
        self._forwarder.refuse_new()

    async def start(self, caller_address: str, ready_address: str) -> None:
        """Listen for clients and for the load balancer."""
        caller_server = GatedServer(
            self._on_request,
            self._gate,
            self._kept,
            self._line_bytes,
            access_log=None,
            handler_cancellation=True,
        )
        self._caller_runner = listen_gated(caller_server, caller_address, self._gate)
        self._ready_runner = await listen(Server(self._on_ready, access_log=None), ready_address)

    def _line_bytes(self) -> int:
        """Return the longest line in the head of a request, on a connection that opens now."""
        # A limit that shrinks stays as it was: a head that is refused as too long is never sent
        # again, and clients go by the document that they know.
        return max(self._limits().max_header_bytes, DocumentLimits().max_header_bytes)

    async def stop(self) -> None:
        """Close every connection; called once no request is in progress."""
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
            return await self._answer(request, arrived_ms)
        finally:
            self._in_progress -= 1

    async def _answer(self, request: BaseRequest, arrived_ms: int) -> StreamResponse:
        reply = ClientReply(request, self._leaving)
        body = await read_body(request, self._limits().max_body_bytes)
        if body is None:
            return Response(status=413)
        try:
            call = read_call(request, body, arrived_ms)
        except ValueError as exc:
            log.info("call: answered 400, malformed header: %s", exc)
            return Response(status=400)
        try:
            await self._forwarder.serve(call, reply)
        except (ConnectionError, asyncio.CancelledError):
            log.info(
                "call: id=%s client closed its connection ms=%d",
                call.request_id,
                self._clock.now_ms() - arrived_ms,
            )
            raise
        assert reply.response is not None
        return reply.response
