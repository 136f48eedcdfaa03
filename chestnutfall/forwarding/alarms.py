"""Wake-ups at clock times, for many calls with one waiting task."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from ..clock import Clock


@dataclass(order=True, slots=True)
class Alarm:
    """A call that is due at a clock time; it does not come once `action` is None."""

    due_ms: int
    number: int
    action: Callable[[], None] | None = field(compare=False)

    def cancel(self) -> None:
        """Drop the call if it has not come."""
        self.action = None


class Alarms:
    """Keeps the alarms, and waits for the earliest one.

    Most alarms are cancelled long before they are due. A task for each of them would cost a
    gateway more than the rest of what it does about silence.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._numbers = itertools.count()
        self._alarms: list[Alarm] = []
        self._waiting: asyncio.Task[None] | None = None
        self._until_ms = 0

    def __len__(self) -> int:
        return len(self._alarms)

    def set(self, due_ms: int, action: Callable[[], None]) -> Alarm:
        """Call `action` once at a clock time, and return the alarm."""
        alarm = Alarm(due_ms, next(self._numbers), action)
        heapq.heappush(self._alarms, alarm)
        if self._waiting is None or self._waiting.done():
            self._waiting = asyncio.ensure_future(self._run())
        elif due_ms < self._until_ms:
            self._waiting.cancel()
            self._waiting = asyncio.ensure_future(self._run())
        return alarm

    async def _run(self) -> None:
        while self._alarms:
            self._until_ms = self._alarms[0].due_ms
            await self._clock.sleep_ms(self._until_ms - self._clock.now_ms())
            now_ms = self._clock.now_ms()
            while self._alarms and (self._alarms[0].due_ms <= now_ms or not self._alarms[0].action):
                action = heapq.heappop(self._alarms).action
                if action is not None:
                    action()
