"""What a gateway sends to limited upstreams while it hears of no leader."""

from __future__ import annotations

import random
from collections.abc import Callable

from ..clock import Clock
from ..quota.token_bucket import TokenBucket
from .upstream_limit import LEAST_PER_S

LONE_PART = 0.5
"""Part of a limit that gateways without a leader share. Those that are cut off can't know whether
the others have one, who may be given the whole limit meanwhile."""
AHEAD_MS = 2_000
"""Callers don't come evenly; what a gateway did not use for longer is lost."""


class LoneSends:
    """An equal part of each limit for each gateway.

    Parameters
    ----------
    gateways : callable
        How many share a limit.
    part : float
        Part of it that they share.
    """

    def __init__(
        self,
        gateways: Callable[[], int],
        clock: Clock,
        rng: random.Random,
        part: float = LONE_PART,
    ) -> None:
        self._part = part
        self._gateways = gateways
        self._clock = clock
        self._rng = rng
        self._buckets: dict[str, TokenBucket] = {}

    def leader_found(self) -> None:
        """Begin anew when the leader is lost again."""
        self._buckets = {}

    def take(self, instance: str, per_s: float) -> bool:
        """Whether one request may be sent; counts it if so."""
        now_ms = self._clock.now_ms()
        own_per_s = self._own_per_s(per_s)
        size = own_per_s * AHEAD_MS / 1000
        bucket = self._buckets.get(instance)
        if bucket is None:
            bucket = self._buckets[instance] = TokenBucket(own_per_s, size, 0.0, now_ms)
        bucket.resize(own_per_s, size, now_ms)
        # Of two hundred gateways each has a share of less than one request. Rounded down, nothing
        # is sent; by chance, all together send what they may.
        if self._rng.random() >= bucket.level(now_ms):
            return False
        bucket.take(1, now_ms)
        return True

    def step_ms(self, per_s: float) -> float:
        """Time between two requests."""
        return 1000 / self._own_per_s(per_s)

    def _own_per_s(self, per_s: float) -> float:
        return self._part * max(per_s, LEAST_PER_S) / max(self._gateways(), 1)
