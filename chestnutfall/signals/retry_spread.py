"""When callers should retry after a refusal because of backoffs."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..clock import Clock

LEAVING_RETRY_MS = 1_000
"""The successors of leaving upstreams announce themselves within about this time."""
MAX_RETRY_MS = 60_000
"""Longer backoffs are cut to this, since other upstreams may serve by then."""
_GOLDEN_RATIO = (math.sqrt(5) - 1) / 2


@dataclass(slots=True)
class _Series:
    """Refusals of one service while its upstreams accept no requests.

    Attributes
    ----------
    began_ms : int
        Clock time of the first refusal.
    until_ms : float
        Clock time until which upstreams accept no requests.
    count : int
        Number of refusals.
    """

    began_ms: int
    until_ms: float
    count: int = 0


class RetrySpread:
    """Gives each refused caller a retry time of its own, after the end of the backoff.

    If all refused callers got the end itself, they would all retry at once. Spread over about as
    long as they arrived, they retry at the rate at which they came. No caller gets more than twice
    the time that is left, however often callers retry before.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._series: dict[str, _Series] = {}

    def wait_ms(self, service: str, held_back_ms: float) -> int:
        """Count a refusal, and return the time after which the caller should retry.

        Parameters
        ----------
        held_back_ms : float
            Time until the first upstream accepts requests; infinite if all are leaving.
        """
        free_ms = LEAVING_RETRY_MS if math.isinf(held_back_ms) else min(held_back_ms, MAX_RETRY_MS)
        now_ms = self._clock.now_ms()
        series = self._series.get(service)
        if series is None or series.until_ms < now_ms:
            series = self._series[service] = _Series(now_ms, now_ms)
        series.until_ms = max(series.until_ms, now_ms + free_ms)
        series.count += 1
        spread_ms = min(now_ms - series.began_ms, free_ms)
        # Multiples of the golden ratio, modulo 1, spread evenly for any number of refusals.
        return math.ceil(free_ms + spread_ms * (series.count * _GOLDEN_RATIO % 1))
