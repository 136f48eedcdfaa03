"""Listening sockets of the platform's HTTP servers whose connections pass a gate."""

from __future__ import annotations

import socket

from ..rush import Acceptor, ConnectionGate, GatedServer
from ..settings.host_port import split_address
from .listening import BACKLOG, end_connections


class GatedListener:
    """A listening socket whose connections pass a gate."""

    def __init__(self, server: GatedServer, acceptor: Acceptor) -> None:
        self._server = server
        self._acceptor = acceptor

    async def cleanup(self) -> None:
        """Stop listening, close idle connections, and wait for the requests in progress."""
        await self._acceptor.close()
        await end_connections(self._server)


def listen_gated(server: GatedServer, address: str, gate: ConnectionGate) -> GatedListener:
    """Serve `server` on `address` for the connections that `gate` admits."""
    sock = socket.create_server(split_address(address), backlog=BACKLOG)
    acceptor = Acceptor(sock, server, gate)
    acceptor.start()
    return GatedListener(server, acceptor)
