"""Listening sockets of the platform's HTTP servers whose connections an acceptor takes."""

from __future__ import annotations

from ..rush.acceptor import Acceptor, open_listening
from ..wire.accepting_server import AcceptingServer
from ..wire.bounded_connection import BoundedConnection
from .listening import BACKLOG, end_connections

CLOSE_TIMEOUT_S = 0.25
"""How long requests in progress may run after their listener is closed. Those of clients were ended
before; what is left are clients that don't read."""


class AcceptedListener:
    """A listening socket whose connections an acceptor takes.

    Attributes
    ----------
    address : tuple
        IP and port that it listens on, also when the address asked for any free port.
    """

    def __init__(self, server: AcceptingServer, acceptor: Acceptor) -> None:
        self._server = server
        self._acceptor = acceptor
        self.address: tuple[str, int] = acceptor.address

    @property
    def undelivered(self) -> int:
        """Number of connections with answers that the system hasn't taken yet."""
        return sum(
            isinstance(conn, BoundedConnection) and conn.unsent_bytes > 0
            for conn in self._server.connections
        )

    async def cleanup(self) -> None:
        """Stop listening, close idle connections, and wait for the requests in progress."""
        await self._acceptor.close()
        await end_connections(self._server, CLOSE_TIMEOUT_S)


def listen_accepted(server: AcceptingServer, address: str) -> AcceptedListener:
    """Serve `server` on `address`, an IP and port, for the connections that it admits."""
    acceptor = Acceptor(open_listening(address, BACKLOG), server)
    acceptor.start()
    return AcceptedListener(server, acceptor)
