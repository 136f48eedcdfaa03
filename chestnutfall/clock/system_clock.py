"""The clock of the host."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

from .clock import Clock

T = TypeVar("T")


class SystemClock(Clock):
    """Time since boot, including the time in which the host was suspended."""

    def now_ms(self) -> int:
        # CLOCK_MONOTONIC stops while a host is suspended, so that a lease that expired during the
        # suspension would still look valid afterwards. CLOCK_BOOTTIME goes on.
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    async def sleep_ms(self, ms: float) -> None:
        await asyncio.sleep(max(ms, 0) / 1000)

    async def within_ms(self, ms: float, work: Coroutine[Any, Any, T]) -> T:
        async with asyncio.timeout(max(ms, 0) / 1000):
            return await work
