"""Wake-ups of many calls by one waiting task."""

from __future__ import annotations

import unittest

from ..clock import ManualClock
from ..forwarding.alarms import Alarms


class AlarmsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.alarms = Alarms(self.clock)
        self.rung: list[tuple[int, str]] = []

    def _set(self, due_ms: int, name: str) -> None:
        self.alarms.set(due_ms, lambda: self.rung.append((self.clock.now_ms(), name)))

    async def test_each_alarm_comes_once_at_its_time(self) -> None:
        self._set(300, "a")
        await self.clock.advance(100)
        for due_ms, name in ((350, "b"), (200, "c"), (50, "d"), (300, "e")):
            self._set(due_ms, name)
        await self.clock.advance(1_000)
        self.assertEqual(self.rung, [(100, "d"), (200, "c"), (300, "a"), (300, "e"), (350, "b")])
        self._set(1_200, "f")
        await self.clock.advance(1_000)
        self.assertEqual(self.rung[5:], [(1_200, "f")])

    # Guards against memory that grows with each call, nearly all of which end before their alarm.
    async def test_a_cancelled_alarm_does_not_come_and_is_dropped(self) -> None:
        for number in range(1_000):
            alarm = self.alarms.set(self.clock.now_ms() + 300, lambda: self.rung.append((0, "")))
            await self.clock.advance(1)
            alarm.cancel()
            self.assertLessEqual(len(self.alarms), 301, number)
        await self.clock.advance(1_000)
        self.assertEqual((self.rung, len(self.alarms)), ([], 0))
