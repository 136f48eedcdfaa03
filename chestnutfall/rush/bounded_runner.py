"""An aiohttp application whose connections are bounded."""

from __future__ import annotations

from typing import Any

from aiohttp import web

from ..accounts import ProcessAccount
from ..wire.bounded_connection import BoundedServer


class BoundedRunner(web.AppRunner):
    """Serves an application on connections that draw from the account of the process."""

    def __init__(self, app: web.Application, account: ProcessAccount, **options: Any) -> None:
        super().__init__(app, **options)
        self._account = account

    async def _make_server(self) -> BoundedServer:
        server = await super()._make_server()
        return BoundedServer(
            server.request_handler,
            self._account,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            **server._kwargs,
        )
