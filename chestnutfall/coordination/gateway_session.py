"""A gateway's stream, as the leader sees it."""

from __future__ import annotations

import asyncio
from typing import Any


class GatewaySession:
    """Messages for one gateway, and the tickets it holds.

    Attributes
    ----------
    tickets : set of str
        Requests of this gateway that wait for an engine or hold a place.
    """

    def __init__(self, gateway: str) -> None:
        self.gateway = gateway
        self.tickets: set[str] = set()
        self.out: asyncio.Queue[Any] = asyncio.Queue()

    def send(self, msg: Any) -> None:
        """Queue a message; None ends the stream."""
        self.out.put_nowait(msg)
