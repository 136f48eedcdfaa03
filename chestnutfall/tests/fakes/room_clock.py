"""Virtual time and a scheduler of coroutines for simulated deployments, without asyncio."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Coroutine, Generator
from typing import Any

from ...clock import Clock


class Reply:
    """A result that a coroutine of a `RoomClock` awaits."""

    def __init__(self, clock: RoomClock) -> None:
        self._clock = clock
        self._waiting: Coroutine[Any, Any, Any] | None = None
        self._result: tuple[Any, BaseException | None] | None = None

    def __await__(self) -> Generator[Reply, None, Any]:
        if self._result is None:
            yield self
        assert self._result is not None
        value, exc = self._result
        if exc is not None:
            raise exc
        return value

    def set(self, value: Any = None, exc: BaseException | None = None) -> None:
        """Set the result, once, and resume the coroutine that awaits it."""
        if self._result is not None:
            return
        self._result = value, exc
        if self._waiting is not None:
            self._clock.resume(self._waiting)

    def await_in(self, task: Coroutine[Any, Any, Any]) -> None:
        """Resume `task` when the result is set."""
        self._waiting = task


class RoomClock(Clock):
    """Virtual time in ms; runs thousands of calls in a second."""

    def __init__(self, start_ms: int = 60_000) -> None:
        self._now_ms = float(start_ms)
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def now_ms(self) -> int:
        return int(self._now_ms)

    async def sleep_ms(self, ms: float) -> None:
        reply = Reply(self)
        self.at(ms, reply.set)
        await reply

    def at(self, in_ms: float, action: Callable[[], None]) -> None:
        """Call `action` after `in_ms`."""
        heapq.heappush(self._events, (self._now_ms + max(in_ms, 0), next(self._order), action))

    def start(self, task: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine that awaits nothing but replies of this clock."""
        self.resume(task)

    def resume(self, task: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine until it awaits the next reply, or ends."""
        try:
            reply: Reply = task.send(None)
        except StopIteration:
            return
        reply.await_in(task)

    def advance(self, ms: float) -> None:
        """Run all events of the next `ms`."""
        end_ms = self._now_ms + ms
        while self._events and self._events[0][0] <= end_ms:
            self._now_ms, _, action = heapq.heappop(self._events)
            action()
        self._now_ms = end_ms
