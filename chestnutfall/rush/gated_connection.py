"""The server's end of a connection that a gate admitted."""

from __future__ import annotations

from typing import Any

from aiohttp.web_protocol import RequestHandler
from aiohttp.web_server import Server

from .connection_gate import ConnectionGate
from .opening import Opening


class GatedConnection(RequestHandler):
    """aiohttp's protocol of a connection, which tells a gate of its first call.

    Attributes
    ----------
    opening : Opening or None
        Record of the gate until the first answer begins; None afterwards.
    """

    __slots__ = ("_gate", "opening")

    def __init__(
        self, gate: ConnectionGate, opening: Opening, manager: Server, **options: Any
    ) -> None:
        super().__init__(manager, **options)
        self._gate = gate
        self.opening: Opening | None = opening

    def data_received(self, data: bytes) -> None:
        if self.opening is not None:
            self._gate.arrived(self.opening)
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        self.end_opening()
        super().connection_lost(exc)

    def end_opening(self) -> None:
        """Note that the first answer begins, or that the connection has ended."""
        if self.opening is not None:
            self._gate.ended(self.opening)
            self.opening = None
