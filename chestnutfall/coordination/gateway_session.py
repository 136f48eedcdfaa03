"""Outgoing side of a gateway's stream to the leader."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterable
from typing import Any

from ..clock import Clock

BULK_INTERVAL_MS = 50
"""Interval of bulk messages of about 16 KB each, which use three fifths of a link of 5 Mbit/s."""


class GatewaySession:
    """Queue of messages for one gateway, and the tickets that the gateway holds.

    Attributes
    ----------
    gateway : str
        Name of the gateway.
    helper_address, data_centre : str
        Where it takes calls of gateways that are cut off, and its data centre; empty if it takes
        none.
    known_gateways : int
        Number of gateways that it knew under the last leader; 0 if unknown.
    suspect_parts : tuple of str
        Prompt parts that it knows to be suspect, as it connects.
    has_told_running : bool
        Whether it has told what it has running at upstreams that bear few rejections.
    tickets : set of str
        Requests of this gateway that wait for placement or are placed on an engine.
    out : asyncio.Queue
        Messages to send before any bulk message; None ends the stream.
    """

    def __init__(
        self,
        gateway: str,
        helper_address: str = "",
        data_centre: str = "",
        known_gateways: int = 0,
        suspect_parts: tuple[str, ...] = (),
    ) -> None:
        self.gateway = gateway
        self.known_gateways = known_gateways
        self.suspect_parts = suspect_parts
        self.has_told_running = False
        self.helper_address = helper_address
        self.data_centre = data_centre
        self.tickets: set[str] = set()
        self.out: asyncio.Queue[Any] = asyncio.Queue()
        self._bulk: deque[Any] = deque()
        self._bulk_due_ms = 0

    def send(self, msg: Any) -> None:
        """Queue a message; None ends the stream."""
        self.out.put_nowait(msg)

    def send_bulk(self, messages: Iterable[Any]) -> None:
        """Replace the queued bulk messages, which are sent only while no other message waits.

        Some hundred KB sent like other messages would delay grants and pulses behind them for half
        a second on a gateway's link, and the gateway would assume that the leader has failed.
        """
        self._bulk = deque(messages)

    async def next(self, clock: Clock, within_ms: float) -> Any:
        """Return the next message to send.

        Raises
        ------
        TimeoutError
            If there is none for `within_ms`.
        """
        if not self._bulk:
            return await clock.within_ms(within_ms, self.out.get())
        wait_ms = min(self._bulk_due_ms - clock.now_ms(), within_ms)
        if wait_ms > 0 or not self.out.empty():
            try:
                return await clock.within_ms(max(wait_ms, 1), self.out.get())
            except TimeoutError:
                if clock.now_ms() < self._bulk_due_ms:
                    raise
        self._bulk_due_ms = clock.now_ms() + BULK_INTERVAL_MS
        return self._bulk.popleft()
