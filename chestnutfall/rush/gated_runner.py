"""An aiohttp application whose connections pass a gate."""

from __future__ import annotations

from typing import Any

from aiohttp import web

from ..accounts import ProcessAccount
from .connection_gate import ConnectionGate
from .gated_request import end_opening
from .gated_server import GatedServer


class GatedRunner(web.AppRunner):
    """Serves an application on the connections that its gate admits."""

    def __init__(
        self, app: web.Application, gate: ConnectionGate, account: ProcessAccount, **options: Any
    ) -> None:
        super().__init__(app, **options)
        app.on_response_prepare.append(_end_opening)
        self._gate = gate
        self._account = account

    async def _make_server(self) -> GatedServer:
        server = await super()._make_server()
        return GatedServer(
            server.request_handler,
            self._gate,
            self._account,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            **server._kwargs,
        )


async def _end_opening(request: web.Request, resp: web.StreamResponse) -> None:
    end_opening(request)
