"""Recent part of failed calls at one upstream."""

from __future__ import annotations

import math

from ..placement import RunOutcome

WEIGHT = 0.05
"""One failure among many calls says little; a service may fail some of its calls at all times."""
HALF_LIFE_MS = 1_500
"""An upstream that gets no calls can't recover by successes, so failures also fade with time."""


class FailureRate:
    """Moving mean of failures, which fades while there are no calls."""

    def __init__(self) -> None:
        self._failure = 0.0
        self._at_ms = 0

    def note(self, outcome: RunOutcome, now_ms: int) -> None:
        """Record how a call ended."""
        self._fade(now_ms)
        match outcome:
            case RunOutcome.BROKEN | RunOutcome.UNREACHABLE:
                self._failure += WEIGHT * (1 - self._failure)
            case RunOutcome.DONE:
                self._failure -= WEIGHT * self._failure
            case _:
                pass

    def at(self, now_ms: int) -> float:
        """Return the part of calls that fail, from 0 to 1."""
        self._fade(now_ms)
        return self._failure

    def _fade(self, now_ms: int) -> None:
        self._failure *= math.exp2((self._at_ms - now_ms) / HALF_LIFE_MS)
        self._at_ms = now_ms
