"""When callers come back whom no upstream takes for some time."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..clock import Clock

LEAVING_RETRY_MS = 1_000
"""Who follows upstreams that leave announces itself within about this time."""
MOST_RETRY_MS = 60_000
"""Of a longer time that upstreams ask for; others may have come by then."""
_GOLDEN = (math.sqrt(5) - 1) / 2


@dataclass(slots=True)
class _Series:
    """Refusals without a pause: since when, until when upstreams want nothing, and how many."""

    began_ms: int
    until_ms: float
    count: int = 0


class ReturnSpread:
    """A moment of its own for each caller, after the time that upstreams asked for.

    Told the end of that time alone, all who were refused come back together. Spread over about as
    long as they came in, they come back as they came. None is told more than twice the time that
    is left, however often callers ask in between.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._series: dict[str, _Series] = {}

    def wait_ms(self, service: str, back_ms: float) -> int:
        """Time until a caller should come back.

        Parameters
        ----------
        back_ms : float
            Time until the first upstream takes work; endless if all of them leave.
        """
        free_ms = LEAVING_RETRY_MS if math.isinf(back_ms) else min(back_ms, MOST_RETRY_MS)
        now_ms = self._clock.now_ms()
        series = self._series.get(service)
        if series is None or series.until_ms < now_ms:
            series = self._series[service] = _Series(now_ms, now_ms)
        series.until_ms = max(series.until_ms, now_ms + free_ms)
        series.count += 1
        spread_ms = min(now_ms - series.began_ms, free_ms)
        # Multiples of the golden ratio fall evenly into any interval, however many there are.
        return math.ceil(free_ms + spread_ms * (series.count * _GOLDEN % 1))
