"""Tracks whether engines of a service load fast from their own copies of adapters."""

from __future__ import annotations

WEIGHT = 0.08
"""Weight of each load in the moving share."""
MIN_FAST_SHARE = 0.2
"""Smallest share of fast loads, over about the last dozen, at which copies count as fast. Twenty
slow loads in a row fall below it. Chance does not: not where every third copy is gone, nor while
the estimate is too short by 1 ms for a time."""
RETRY_AFTER_MS = 10_000
"""Time after the last slow load until copies are tried again. Engines that kept no copies for lack
of memory may keep some by then."""


class CopySpeed:
    """Moving share of loads from copies that had ended when they were expected to.

    Some kinds of engine keep copies of adapters in their own memory and load from them ten times as
    fast; others load everything from the store. If copies are expected on the latter, nearly each
    request that brings an adapter back is sent too early: that uses up the retry budget, and
    callers are refused while engines are idle.
    """

    def __init__(self) -> None:
        self._fast_share = 1.0
        self._failed_ms = 0

    @property
    def are_fast(self) -> bool:
        """Whether loads from copies are expected to be fast."""
        return self._fast_share >= MIN_FAST_SHARE

    def note_fast(self) -> None:
        """Record that a load from a copy had ended when its first request came."""
        self._fast_share += WEIGHT * (1 - self._fast_share)

    def note_slow(self, now_ms: int) -> None:
        """Record that a load from a copy had not ended when its first request came."""
        self._fast_share -= WEIGHT * self._fast_share
        self._failed_ms = now_ms

    def forget_old(self, now_ms: int) -> None:
        """Try copies again when the last slow load was long ago."""
        if not self.are_fast and now_ms - self._failed_ms > RETRY_AFTER_MS:
            self._fast_share = MIN_FAST_SHARE
