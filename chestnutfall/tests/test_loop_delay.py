"""The measured delay of an event loop."""

from __future__ import annotations

import asyncio
import unittest
from collections import deque

from ..clock import ManualClock
from ..observability.loop_delay import EACH_MS, LATE_MS, LoopDelay


class _LateClock(ManualClock):
    """Ends its sleeps late, by the delays that are left."""

    def __init__(self, *delays_ms: int) -> None:
        super().__init__()
        self._delays_ms = deque(delays_ms)

    async def sleep_ms(self, ms: float) -> None:
        await super().sleep_ms(ms + (self._delays_ms.popleft() if self._delays_ms else 0))


class LoopDelayTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a log that can't tell a late loop from other causes of a late answer.
    async def test_each_delay_is_counted_and_long_ones_are_logged(self) -> None:
        clock = _LateClock(0, 3, LATE_MS)
        seen: list[tuple[str, float]] = []
        running = asyncio.ensure_future(LoopDelay(clock, lambda *one: seen.append(one)).run())
        with self.assertLogs("chestnutfall.observability.loop_delay") as logs:
            await clock.advance(3 * EACH_MS + 3 + LATE_MS)
        running.cancel()
        self.assertEqual(seen, [("loop_delay_ms", late_ms) for late_ms in (0, 3, LATE_MS)])
        self.assertEqual([one.getMessage() for one in logs.records], [f"loop: late ms={LATE_MS}"])
