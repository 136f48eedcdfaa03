"""How late the event loop of a process is."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..clock import Clock

log = logging.getLogger(__name__)
EACH_MS = 250
LATE_MS = 200
"""Delay from which one is logged. A client that leaves waits at least as long to be noticed."""


class LoopDelay:
    """Measures the delay of a timer, as a histogram, and logs the long ones.

    A late loop reads late what others sent long ago: requests, and the ends of their connections.

    Parameters
    ----------
    observe : callable
        Records a duration in ms under a name.
    """

    def __init__(self, clock: Clock, observe: Callable[[str, float], None]) -> None:
        self._clock = clock
        self._observe = observe

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due_ms = self._clock.now_ms() + EACH_MS
            await self._clock.sleep_ms(EACH_MS)
            late_ms = max(self._clock.now_ms() - due_ms, 0)
            self._observe("loop_delay_ms", late_ms)
            if late_ms >= LATE_MS:
                log.warning("loop: late ms=%d", late_ms)
