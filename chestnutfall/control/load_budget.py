"""Rate limit for loads from the weight store."""

from __future__ import annotations

from ..clock import Clock
from ..quota.token_bucket import TokenBucket

MAX_TOKENS = 1.0
"""Largest number of saved tokens, which is also the largest burst."""


class LoadBudget:
    """A token bucket that starts empty.

    A new leader does not know how many loads the previous one permitted just before. Starting empty
    keeps the two together within the rate.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Saved tokens would permit a burst on top of the rate after an idle period.
        self._bucket = TokenBucket(0.0, MAX_TOKENS, 0.0, clock.now_ms())

    def take(self, per_s: float) -> bool:
        """Take the token for one load at a rate of `per_s`; False if there is none."""
        now_ms = self._clock.now_ms()
        self._bucket.per_s = per_s
        if self._bucket.level(now_ms) < 1:
            return False
        self._bucket.take(1, now_ms)
        return True

    def return_token(self) -> None:
        """Return the token of a load that did not start."""
        self._bucket.take(-1, self._clock.now_ms())
