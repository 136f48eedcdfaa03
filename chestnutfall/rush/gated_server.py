"""An aiohttp server that knows which calls are the first ones of their connections."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse

from ..accounts import ProcessAccount
from ..wire.accepting_server import AcceptingServer
from .connection_gate import ConnectionGate
from .gated_connection import GatedConnection
from .gated_request import GatedRequest
from .idle_connections import pause_idle
from .kept_limits import KeptLimits
from .opening import Opening


class GatedServer(AcceptingServer):
    """Tells its gate of the calls, and of the ends of the connections that the gate admitted.

    Parameters
    ----------
    kept : KeptLimits, optional
        How long a connection may be without a request; by default aiohttp's option decides.
    line_bytes : callable, optional
        Longest line in the head of a request on a connection that opens now; by default aiohttp's
        options decide.
    """

    def __init__(
        self,
        handler: Callable[[BaseRequest], Awaitable[StreamResponse]],
        gate: ConnectionGate,
        account: ProcessAccount,
        kept: KeptLimits | None = None,
        line_bytes: Callable[[], int] | None = None,
        **options: Any,
    ) -> None:
        super().__init__(self._serve, **options)
        self._handler = handler
        self._gate = gate
        self.account = account
        self._kept = kept
        self._line_bytes = line_bytes

    def admit(self) -> Opening | None:
        return self._gate.admit()

    def open(self, record: Opening) -> GatedConnection:
        options = dict(self._kwargs)
        if self._line_bytes is not None:
            options["max_line_size"] = options["max_field_size"] = self._line_bytes()
        return GatedConnection(
            self._gate, record, self, self.account, self._kept, loop=self._loop, **options
        )

    def ended(self, record: Opening) -> None:
        self._gate.ended(record)

    def pre_shutdown(self) -> None:
        pause_idle(self)
        super().pre_shutdown()

    async def _serve(self, request: BaseRequest) -> StreamResponse:
        conn = request.protocol
        assert isinstance(conn, GatedConnection)
        self._gate.began(conn.opening)
        try:
            return await self._handler(request)
        finally:
            conn.end_opening()

    def _make_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: RequestHandler,
        writer: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> GatedRequest:
        return GatedRequest(message, payload, protocol, writer, task, self._loop)
