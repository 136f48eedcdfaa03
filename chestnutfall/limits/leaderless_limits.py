"""Requests that a gateway may send to limited upstreams while it has no leader."""

from __future__ import annotations

import random
from collections.abc import Callable

from ..clock import Clock
from ..quota.token_bucket import TokenBucket
from .upstream_limit import MIN_PER_S

LEADERLESS_FRACTION = 0.5
"""Fraction of a limit that gateways without a leader share. A gateway that is cut off can't know
whether other gateways still have a leader, which may grant them the whole limit meanwhile."""
LEADERLESS_BURST_MS = 2_000
"""Callers arrive unevenly, so unused sends accumulate for this long; older ones are lost."""


class LeaderlessLimits:
    """Gives this gateway an equal share of each upstream's limit.

    Parameters
    ----------
    gateways : callable
        Returns the number of gateways that share a limit.
    fraction : float
        Fraction of the limit that they share.
    """

    def __init__(
        self,
        gateways: Callable[[], int],
        clock: Clock,
        rng: random.Random,
        fraction: float = LEADERLESS_FRACTION,
    ) -> None:
        self._fraction = fraction
        self._gateways = gateways
        self._clock = clock
        self._rng = rng
        self._buckets: dict[str, TokenBucket] = {}

    def leader_found(self) -> None:
        """Drop all counts, so that the next loss of the leader starts with empty buckets."""
        self._buckets = {}

    def try_send(self, instance: str, per_s: float) -> bool:
        """Return whether one request may be sent now, and count it if so.

        Parameters
        ----------
        per_s : float
            The upstream's whole limit, in requests per second.
        """
        now_ms = self._clock.now_ms()
        share_per_s = self._share_per_s(per_s)
        size = share_per_s * LEADERLESS_BURST_MS / 1000
        bucket = self._buckets.get(instance)
        if bucket is None:
            bucket = self._buckets[instance] = TokenBucket(share_per_s, size, 0.0, now_ms)
        bucket.resize(share_per_s, size, now_ms)
        # With two hundred gateways each one's share is less than one request. Rounding it down
        # would send nothing; a random choice makes all gateways together send their total.
        if self._rng.random() >= bucket.level(now_ms):
            return False
        bucket.take(1, now_ms)
        return True

    def interval_ms(self, per_s: float) -> float:
        """Mean time between two sends of this gateway at a limit of `per_s`."""
        return 1000 / self._share_per_s(per_s)

    def _share_per_s(self, per_s: float) -> float:
        return self._fraction * max(per_s, MIN_PER_S) / max(self._gateways(), 1)
