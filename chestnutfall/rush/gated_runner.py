"""An aiohttp application whose connections pass a gate."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from aiohttp import web
from aiohttp.web_runner import BaseSite

from ..settings.host_port import split_address
from .acceptor import Acceptor
from .connection_gate import ConnectionGate
from .gated_request import end_opening
from .gated_server import GatedServer
from .idle_connections import READ_S

BACKLOG = 1024
"""Connections that may wait to be taken, as on the platform."""


class GatedRunner(web.AppRunner):
    """Serves an application on the connections that its gate admits."""

    def __init__(self, app: web.Application, gate: ConnectionGate, **options: Any) -> None:
        super().__init__(app, **options)
        app.on_response_prepare.append(_end_opening)
        self.gate = gate

    async def _make_server(self) -> GatedServer:
        server = await super()._make_server()
        return GatedServer(
            server.request_handler,
            self.gate,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            **server._kwargs,
        )


class GatedSite(BaseSite):
    """Listens on an address, an IP and port, for a `GatedRunner` that is set up."""

    def __init__(self, runner: GatedRunner, address: str) -> None:
        super().__init__(runner)
        self._address = address
        self._gate = runner.gate
        self._acceptor: Acceptor | None = None

    @property
    def name(self) -> str:
        return f"http://{self._address}"

    async def start(self) -> None:
        await super().start()
        server = self._runner.server
        assert isinstance(server, GatedServer)
        sock = socket.create_server(split_address(self._address), backlog=BACKLOG)
        self._acceptor = Acceptor(sock, server, self._gate)
        self._acceptor.start()

    async def stop(self) -> None:
        if self._acceptor is not None:
            await self._acceptor.close()
            # What has come is read first; its connections would count as idle otherwise.
            await asyncio.sleep(READ_S)
        await super().stop()


async def _end_opening(request: web.Request, resp: web.StreamResponse) -> None:
    end_opening(request)
