"""Repeats that the leader gives to gateways whose own share is spent."""

from __future__ import annotations

from ..clock import Clock, SlidingWindow
from ..settings.repeat_bounds import RepeatBounds

POOL_PART = 0.5
"""Part of the slack that is given out here; gateways share the rest, so that each can repeat a
request also while there is no leader."""
SAFETY = 0.7
"""Part of the bound that is used: a repeat arrives some time after it was given out, in a window
that may hold more of them, and the number of gateways is known late."""


class RepeatPool:
    """A sliding window over what was given out, for each service.

    Callers come to few gateways at a time. With the slack in equal parts, those that have callers
    run out of repeats while what the others were allotted is left: of 195 gateways before engines
    that failed 45 % of their requests, all together used less than half of the bound, and 127 of
    565 requests that could be run again were not.
    """

    def __init__(self, bounds: RepeatBounds, clock: Clock) -> None:
        self._bounds = bounds
        self._clock = clock
        self._given: dict[str, SlidingWindow] = {}
        # The leader before may have given out all of it until just now. Begun at once, two leaders
        # in one window would exceed the bound together.
        self._from_ms = clock.now_ms() + bounds.window_ms

    def take(self, service: str) -> bool:
        """Give out one repeat; False when there is none left."""
        now_ms = self._clock.now_ms()
        if now_ms < self._from_ms:
            return False
        given = self._given.setdefault(service, SlidingWindow(self._bounds.window_ms))
        if given.count(now_ms) + 1 > SAFETY * POOL_PART * self._bounds.slack:
            return False
        given.note(now_ms)
        return True
