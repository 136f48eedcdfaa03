"""A gateway's reports of engines that other work slows down."""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable

from ..clock import Clock
from ..placement.reported_slowdown import FRESH_MS
from ..signals import UpstreamLoad
from ..signals.engine_loads import EngineLoads

INTERVAL_MS = 50
"""Shortest time between two reports of a gateway: a tenth of the time that a report counts, and at
most 20 messages a second."""
UNUSUAL = 1.15
"""A slowdown below this costs a request less than its way to another engine."""
MAX_ENGINES = 64
"""Engines in one report, those slowed down most first; some 2 KB."""


class EngineLoadReports:
    """Collects the slowdowns that answers report, and sends the unusual ones together.

    A gateway whose engines all work as usual sends nothing.

    Parameters
    ----------
    send : callable
        Sends a message to the leader; drops it if there is none.
    """

    def __init__(self, send: Callable[[EngineLoads], None], clock: Clock) -> None:
        self._send = send
        self._clock = clock
        self._next_ms = 0
        self._unsent: dict[str, float] = {}
        self._reported_ms: dict[str, int] = {}
        self._flushing: asyncio.Task[None] | None = None

    def note(self, instance: str, load: UpstreamLoad) -> None:
        """Record the load that an answer of an engine reported when it began."""
        slowdown = load.slowdown if load.slowdown >= UNUSUAL else 1.0
        if slowdown == 1 and instance not in self._unsent and not self._is_reported(instance):
            return
        self._unsent[instance] = slowdown
        if self._clock.now_ms() >= self._next_ms:
            self._flush()
        elif self._flushing is None:
            self._flushing = asyncio.ensure_future(self._flush_when_due())

    def _is_reported(self, instance: str) -> bool:
        """Whether the leader may still use a slowdown that this gateway reported."""
        return self._clock.now_ms() - self._reported_ms.get(instance, -FRESH_MS) < FRESH_MS

    async def _flush_when_due(self) -> None:
        await self._clock.sleep_ms(self._next_ms - self._clock.now_ms())
        self._flushing = None
        self._flush()

    def _flush(self) -> None:
        if not self._unsent:
            return
        now_ms = self._clock.now_ms()
        self._next_ms = now_ms + INTERVAL_MS
        slowdowns, self._unsent = self._unsent, {}
        if len(slowdowns) > MAX_ENGINES:
            slowdowns = dict(heapq.nlargest(MAX_ENGINES, slowdowns.items(), lambda one: one[1]))
        self._send(EngineLoads(slowdowns))
        for instance, slowdown in slowdowns.items():
            if slowdown > 1:
                self._reported_ms[instance] = now_ms
            else:
                self._reported_ms.pop(instance, None)
        self._forget_old(now_ms)

    def _forget_old(self, now_ms: int) -> None:
        if len(self._reported_ms) > MAX_ENGINES:
            since_ms = now_ms - FRESH_MS
            self._reported_ms = {
                instance: at_ms for instance, at_ms in self._reported_ms.items() if at_ms > since_ms
            }
