"""The running event loop, whose time a test moves on."""

from __future__ import annotations

import asyncio

from ...clock import ManualClock

TURNS = 20
"""Turns of the loop in which the ends of a loopback connection hear of each other."""


class ShiftedLoop:
    """Moves the time of the running loop on, so that its timers fall due without a wait.

    Attributes
    ----------
    clock : ManualClock
        Is moved on with the loop.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        # In debug mode, each turn in which the time moves on would be reported as a slow one.
        self._loop.set_debug(False)
        self._time = self._loop.time
        self._shift = 0.0
        self.clock = ManualClock(60_000)
        self._loop.time = lambda: self._time() + self._shift  # type: ignore[method-assign]

    def skip(self, seconds: float) -> None:
        """Move the time on; timers that are due run in the next turn of the loop."""
        self._shift += seconds
        self.clock._now_ms += round(seconds * 1000)

    async def pass_s(self, seconds: float) -> None:
        """Move the time on, and let what is due happen."""
        self.skip(seconds)
        for _ in range(TURNS):
            await asyncio.sleep(0)
