"""The clock of one process that can be frozen."""

from __future__ import annotations

import asyncio

from ...clock import Clock, ManualClock


class NodeClock(Clock):
    """Time goes on while the process is frozen, but nothing in it wakes up."""

    def __init__(self, base: ManualClock) -> None:
        self._base = base
        self._running = asyncio.Event()
        self._running.set()

    def freeze(self) -> None:
        """Stop waking tasks of this process."""
        self._running.clear()

    def thaw(self) -> None:
        """Let them go on."""
        self._running.set()

    async def while_running(self) -> None:
        """Wait until the process is not frozen."""
        await self._running.wait()

    def now_ms(self) -> int:
        return self._base.now_ms()

    async def sleep_ms(self, ms: float) -> None:
        await self._base.sleep_ms(ms)
        await self._running.wait()
