"""Where clients and the platform's balancer call a gateway."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from aiohttp import web

from ..clock import Clock
from ..forwarding.drain import Drainable
from ..forwarding.forwarder import Forwarder
from ..routes import DocumentLimits
from .body import read_body
from .call_reader import read_call
from .client_reply import ClientReply
from .listening import listen

log = logging.getLogger(__name__)
KEEPALIVE_S = 75.0
"""Longer than clients keep a connection idle, so that none is closed as a request crosses."""
READY_PATH = "/v1/ready"


class EntryServer(Drainable):
    """Translates each HTTP request to a call for the forwarder."""

    def __init__(
        self,
        forwarder: Forwarder,
        is_ready: Callable[[], bool],
        limits: Callable[[], DocumentLimits],
        clock: Clock,
    ) -> None:
        self._forwarder = forwarder
        self._is_ready = is_ready
        self._limits = limits
        self._clock = clock
        self._in_progress = 0
        self._leaving = False
        self._callers: web.ServerRunner | None = None
        self._balancer: web.ServerRunner | None = None

    def calls_in_progress(self) -> int:
        return self._in_progress

    def announce_leaving(self) -> None:
        self._leaving = True

    def refuse_new(self) -> None:
        self._forwarder.refuse_new()

    async def start(self, caller_address: str, ready_address: str) -> None:
        """Begin to listen."""
        calls = web.Server(
            self._on_call,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_S,
            max_line_size=DocumentLimits().max_header_bytes,
            max_field_size=DocumentLimits().max_header_bytes,
        )
        self._callers = await listen(calls, caller_address)
        self._balancer = await listen(web.Server(self._on_ready, access_log=None), ready_address)

    async def stop(self) -> None:
        """Close every connection; nothing is in progress any more."""
        for runner in (self._callers, self._balancer):
            if runner is not None:
                await runner.cleanup()

    async def _on_ready(self, request: web.BaseRequest) -> web.StreamResponse:
        ready = request.path == READY_PATH and not self._leaving and self._is_ready()
        return web.Response(status=200 if ready else 503)

    async def _on_call(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived_ms = self._clock.now_ms()
        self._in_progress += 1
        try:
            return await self._answer(request, arrived_ms)
        finally:
            self._in_progress -= 1

    async def _answer(self, request: web.BaseRequest, arrived_ms: int) -> web.StreamResponse:
        reply = ClientReply(request, self._leaving)
        body = await read_body(request, self._limits().max_body_bytes)
        if body is None:
            return web.Response(status=413)
        try:
            call = read_call(request, body, arrived_ms)
        except ValueError as exc:
            log.info("call: malformed header: %s", exc)
            return web.Response(status=400)
        try:
            await self._forwarder.serve(call, reply)
        except (ConnectionError, asyncio.CancelledError):
            log.info(
                "call: id=%s client left ms=%d",
                call.request_id,
                self._clock.now_ms() - arrived_ms,
            )
            raise
        assert reply.response is not None
        return reply.response
