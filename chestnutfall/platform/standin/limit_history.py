"""The request limits that an upstream announced over time, and the requests that they allow."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from itertools import pairwise

from .run_registry import window_counts

WINDOW_MS = 4_000
SETTLE_MS = 3_000
"""Time after the first limit in which every gateway must have learnt of it."""
ALLOWED_FACTOR = 1.5
"""Factor by which a window may exceed the limits."""
ALLOWED_EXTRA = 5
"""Requests that a window may have beyond that."""


@dataclass(frozen=True, slots=True)
class Excess:
    """A window in which an upstream got more requests than allowed.

    Attributes
    ----------
    end_ms : float
        End of the window, whose length is `WINDOW_MS`.
    """

    end_ms: float
    got: int
    allowed: float


@dataclass(slots=True)
class LimitHistory:
    """The limits of one upstream, from the first that it announced.

    Attributes
    ----------
    announced : list of (float, float)
        Time of each announcement in ms, and its limit in requests a second.
    """

    announced: list[tuple[float, float]] = field(default_factory=list)

    def note_limit(self, now_ms: float, per_s: float) -> None:
        """Record that the upstream announces the limit `per_s` from now on."""
        self.announced.append((now_ms, per_s))

    @property
    def began_ms(self) -> float:
        """Time of the first announcement, in ms."""
        return self.announced[0][0]

    def allowed(self, end_ms: float) -> float:
        """Return the number of requests allowed in the window that ends at `end_ms`."""
        begin_ms = end_ms - WINDOW_MS
        # The first limit counts for the time before its announcement too, which is stricter.
        steps = [(begin_ms, self.announced[0][1]), *self.announced, (end_ms, 0.0)]
        requests = sum(
            per_s * max(until_ms - max(from_ms, begin_ms), 0) / 1000
            for (from_ms, per_s), (until_ms, _) in pairwise(steps)
        )
        return ALLOWED_FACTOR * requests + ALLOWED_EXTRA

    def excesses(self, arrivals: Sequence[float]) -> Iterator[Excess]:
        """Yield the windows with more requests than allowed.

        Requests before the first limit are not counted, and windows that end less than `SETTLE_MS`
        after it are left out. `arrivals` are times in ms, in ascending order.
        """
        counted = [at_ms for at_ms in arrivals if at_ms >= self.began_ms]
        for end_ms, got in window_counts(counted, WINDOW_MS):
            if end_ms >= self.began_ms + SETTLE_MS and got > self.allowed(end_ms):
                yield Excess(end_ms, got, self.allowed(end_ms))
