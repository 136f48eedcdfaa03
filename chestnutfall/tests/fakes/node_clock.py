"""The clock of one simulated process, which can be frozen."""

from __future__ import annotations

import asyncio

from ...clock import Clock, ManualClock


class NodeClock(Clock):
    """A clock whose time advances while the process is frozen, but whose sleeps don't return."""

    def __init__(self, base: ManualClock) -> None:
        self._base = base
        self._running = asyncio.Event()
        self._running.set()

    def freeze(self) -> None:
        """Freeze the process: sleeps don't return until `thaw`."""
        self._running.clear()

    def thaw(self) -> None:
        """Resume the process; sleeps that are over return."""
        self._running.set()

    @property
    def is_running(self) -> bool:
        """Whether the process is not frozen."""
        return self._running.is_set()

    async def while_running(self) -> None:
        """Wait until the process is not frozen."""
        await self._running.wait()

    def now_ms(self) -> int:
        return self._base.now_ms()

    async def sleep_ms(self, ms: float) -> None:
        await self._base.sleep_ms(ms)
        await self._running.wait()
