"""HTTP servers whose connections an `Acceptor` takes."""

from __future__ import annotations

from abc import abstractmethod
from typing import Any

from aiohttp.web_protocol import RequestHandler
from aiohttp.web_server import Server

from ..accounts import ProcessAccount


class AcceptingServer(Server):
    """An HTTP server that says for each connection whether it is taken.

    Attributes
    ----------
    account : ProcessAccount
        What its connections draw from.
    """

    account: ProcessAccount

    @abstractmethod
    def admit(self) -> Any | None:
        """Return a record of a connection that has just come; None if it is to be closed."""

    @abstractmethod
    def open(self, record: Any) -> RequestHandler:
        """Return the protocol of a connection that was admitted."""

    @abstractmethod
    def ended(self, record: Any) -> None:
        """Note that an admitted connection ended before it was opened."""
