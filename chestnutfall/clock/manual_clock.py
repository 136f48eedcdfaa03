"""A clock that advances only on request, for tests and experiments."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from typing import Any

from .clock import Clock


class ManualClock(Clock):
    """Virtual time, which advances only in `advance`.

    It needs a plain asyncio loop without sockets or threads, since `settle` can't wait for them.
    """

    def __init__(self, start_ms: int = 0) -> None:
        self._now_ms = start_ms
        self._order = itertools.count()
        self._sleepers: list[tuple[int, int, asyncio.Future[None]]] = []

    def now_ms(self) -> int:
        return self._now_ms

    async def sleep_ms(self, ms: float) -> None:
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        due_ms = self._now_ms + max(int(ms), 0)
        heapq.heappush(self._sleepers, (due_ms, next(self._order), fut))
        await fut

    async def settle(self) -> None:
        """Run all ready tasks until each one waits."""
        loop: Any = asyncio.get_running_loop()
        await asyncio.sleep(0)
        while loop._ready:
            await asyncio.sleep(0)

    async def advance(self, ms: int) -> None:
        """Advance the time by `ms`; wake sleepers in the order in which they are due."""
        end_ms = self._now_ms + ms
        await self.settle()
        while self._sleepers and self._sleepers[0][0] <= end_ms:
            due_ms, _, fut = heapq.heappop(self._sleepers)
            if fut.done():
                continue
            self._now_ms = max(self._now_ms, due_ms)
            fut.set_result(None)
            await self.settle()
        self._now_ms = end_ms
