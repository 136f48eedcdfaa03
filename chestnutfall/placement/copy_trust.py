"""Whether engines of a service load fast what they held recently."""

from __future__ import annotations

WEIGHT = 0.08
LEAST_PART = 0.2
"""Part of the loads from copies that have to be fast, over the last dozen: twenty in a row that
were not end the trust. Where every third copy is gone, or the estimate is too short by a ms for a
while, chance does not."""
AGAIN_MS = 10_000
"""When it is tried again; engines that kept no copies for want of memory may keep some by then."""


class CopyTrust:
    """Counts loads of adapters that their engines held recently.

    Engines of one kind keep copies in their own memory and load from them ten times as fast, those
    of another kind load everything anew. Taken for fast on the latter, nearly each request that
    brings an adapter back comes too early: the budget of repeats is spent, and callers are refused
    while engines are idle.
    """

    def __init__(self) -> None:
        self._part = 1.0
        self._failed_ms = 0

    @property
    def holds(self) -> bool:
        """Whether copies are taken for fast."""
        return self._part >= LEAST_PART

    def was_fast(self) -> None:
        """A load from a copy had ended when its first request came."""
        self._part += WEIGHT * (1 - self._part)

    def was_slow(self, now_ms: int) -> None:
        """A load from a copy had not ended when its first request came."""
        self._part -= WEIGHT * self._part
        self._failed_ms = now_ms

    def forget_old(self, now_ms: int) -> None:
        """Try again what failed long ago."""
        if not self.holds and now_ms - self._failed_ms > AGAIN_MS:
            self._part = LEAST_PART
