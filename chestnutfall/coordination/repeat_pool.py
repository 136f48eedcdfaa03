"""Repeats that the leader grants to gateways that have used their own share."""

from __future__ import annotations

from ..clock import Clock, SlidingWindow
from ..settings.repeat_bounds import RepeatBounds

POOL_SHARE = 0.5
"""Share of `RepeatBounds.slack` that the leader grants. Gateways divide the rest among
themselves, so that each of them can repeat requests while there is no leader."""
SAFETY_FACTOR = 0.7
"""Part of the bound that is used. A repeat arrives some time after it was granted, in a window that
may contain more of them, and changes of the number of gateways are known late."""


class RepeatPool:
    """Sliding windows over the granted repeats, one per service.

    Callers use few gateways at a time. If the slack were divided equally, those gateways would run
    out of repeats while the shares of the others stay unused: with 195 gateways and engines that
    failed 45 % of their requests, all together used less than half of the bound, and 127 of 565
    requests that could have been run again were not.
    """

    def __init__(self, bounds: RepeatBounds, clock: Clock) -> None:
        self._bounds = bounds
        self._clock = clock
        self._given: dict[str, SlidingWindow] = {}
        # The previous leader may have granted the whole pool just before. If this one started at
        # once, the two could exceed the bound within one window.
        self._from_ms = clock.now_ms() + bounds.window_ms

    def take(self, service: str) -> bool:
        """Grant one repeat; False if there is none left."""
        now_ms = self._clock.now_ms()
        if now_ms < self._from_ms:
            return False
        given = self._given.setdefault(service, SlidingWindow(self._bounds.window_ms))
        if given.count(now_ms) + 1 > SAFETY_FACTOR * POOL_SHARE * self._bounds.slack:
            return False
        given.note(now_ms)
        return True
