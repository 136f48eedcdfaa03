"""Requests that a gateway admits while it has no leader."""

from __future__ import annotations

import random

from ..clock import Clock
from ..routes import Quota
from ..settings.quota_bounds import QuotaBounds
from .token_bucket import TokenBucket
from .use_history import UseHistory

LEADERLESS_FRACTION = 0.5
"""Fraction of the spare units that all gateways together may use without a leader."""
BURST_S = 0.5
"""Callers arrive unevenly, so a gateway may be this far ahead of its earlier rate."""
KEEP_RATE_MS = 3_000
"""How long a gateway keeps its earlier rate; longer than an election with one failed attempt. A
gateway that is cut off for longer can't know whether a leader grants the same units to others."""
ISOLATED_PER_S = 0.0
"""Rate of a gateway that no controller answers; others may be granted the whole quota meanwhile."""


class LeaderlessShare:
    """One organisation's share of its quota at this gateway while there is no leader.

    For `KEEP_RATE_MS` the gateway keeps the rate of the last window: what all gateways admitted
    then was within the quota, and callers seldom move to another gateway. After that it has an
    equal share of the quota if controllers answer that there is no leader, and nothing if none of
    them answers: then it is cut off, and a leader may grant the whole quota to the others. In
    addition, each gateway has an equal share of the spare units, for callers that it did not have
    before. There are none for an organisation that was short, since they would add up over
    several leaders in a row.
    """

    def __init__(self, bounds: QuotaBounds, clock: Clock, rng: random.Random) -> None:
        self._bounds = bounds
        self._clock = clock
        self._rng = rng
        self._history = UseHistory(bounds.window_ms)
        self._bucket = TokenBucket(0.0, 0.0, 0.0, 0)
        self._lost_ms = -1

    def note(self, units: float) -> None:
        """Count units that were admitted, with or without a leader; negative if given back."""
        self._history.note(units, self._clock.now_ms())

    def try_take(
        self,
        quota: Quota,
        gateways: int,
        lost_ms: int,
        was_short: bool,
        is_isolated: bool,
        units: float,
    ) -> bool:
        """Return whether a request of `units` is admitted, and take them if so.

        Parameters
        ----------
        gateways : int
            Number of gateways that share the quota.
        lost_ms : int
            Clock time at which the leader was lost; another value starts a new share.
        was_short : bool
            Whether the organisation was short at that time.
        is_isolated : bool
            Whether no controller answers this gateway.
        """
        now_ms = self._clock.now_ms()
        if lost_ms != self._lost_ms:
            self._begin(quota, gateways, lost_ms, was_short, now_ms)
        bucket = self._bucket
        if now_ms >= lost_ms + KEEP_RATE_MS:
            per_s = ISOLATED_PER_S if is_isolated else quota.per_s / max(gateways, 1)
            bucket.resize(per_s, bucket.size, now_ms)
        # With two hundred gateways each one's share is less than one request. Rounding it down
        # would admit nothing; a random choice makes all gateways together admit their total.
        if self._rng.random() * units >= bucket.level(now_ms):
            return False
        bucket.take(units, now_ms)
        return True

    def _begin(
        self, quota: Quota, gateways: int, lost_ms: int, was_short: bool, now_ms: int
    ) -> None:
        # The rate is that of the time with a leader. Otherwise it would include the spare units
        # admitted since, and grow.
        self._lost_ms = lost_ms
        earlier_per_s = self._history.per_s(now_ms)
        own = LEADERLESS_FRACTION * self._bounds.spare(quota) / max(gateways, 1)
        size = own + BURST_S * earlier_per_s
        self._bucket = TokenBucket(earlier_per_s, size, 0.0 if was_short else size, lost_ms)
