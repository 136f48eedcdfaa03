"""Where an aiohttp application listens whose connections an acceptor takes."""

from __future__ import annotations

import asyncio

from aiohttp import web
from aiohttp.web_runner import BaseSite

from ..wire.accepting_server import AcceptingServer
from .acceptor import Acceptor, open_listening
from .idle_connections import READ_S

BACKLOG = 1024
"""Connections that may wait to be taken, as on the platform."""


class AcceptedSite(BaseSite):
    """Listens on an address, an IP and port, for a runner that is set up."""

    def __init__(self, runner: web.AppRunner, address: str) -> None:
        super().__init__(runner)
        self._address = address
        self._acceptor: Acceptor | None = None

    @property
    def name(self) -> str:
        return f"http://{self._address}"

    async def start(self) -> None:
        await super().start()
        server = self._runner.server
        assert isinstance(server, AcceptingServer)
        self._acceptor = Acceptor(open_listening(self._address, BACKLOG), server)
        self._acceptor.start()

    async def stop(self) -> None:
        if self._acceptor is not None:
            await self._acceptor.close()
            # What has come is read first; its connections would count as idle otherwise.
            await asyncio.sleep(READ_S)
        await super().stop()
