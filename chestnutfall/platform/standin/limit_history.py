"""What an upstream named as its limit over time, and what it may get by that."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from itertools import pairwise

from .run_book import window_counts

WINDOW_MS = 4_000
SETTLE_MS = 3_000
"""Time that everybody has to learn of a first limit."""
OVER = 1.5
SLACK = 5


@dataclass(frozen=True, slots=True)
class Excess:
    """A window that has more requests than may be."""

    end_ms: float
    got: int
    allowed: float


@dataclass(slots=True)
class LimitHistory:
    """One limit from its beginning on.

    Attributes
    ----------
    named : list of (float, float)
        When which limit was named, in ms and requests a second.
    """

    named: list[tuple[float, float]] = field(default_factory=list)

    def name(self, now_ms: float, per_s: float) -> None:
        """Note that a limit was named."""
        self.named.append((now_ms, per_s))

    @property
    def began_ms(self) -> float:
        """When the first limit was named."""
        return self.named[0][0]

    def allowed(self, end_ms: float) -> float:
        """What may come in the window that ends at `end_ms`."""
        begin_ms = end_ms - WINDOW_MS
        # Before the first limit it is taken to have held already: the stricter reading.
        steps = [(begin_ms, self.named[0][1]), *self.named, (end_ms, 0.0)]
        requests = sum(
            per_s * max(until_ms - max(from_ms, begin_ms), 0) / 1000
            for (from_ms, per_s), (until_ms, _) in pairwise(steps)
        )
        return OVER * requests + SLACK

    def excesses(self, arrivals: Sequence[float]) -> Iterator[Excess]:
        """Yield windows with too many of the requests that came since the first limit."""
        moments = [at_ms for at_ms in arrivals if at_ms >= self.began_ms]
        for end_ms, got in window_counts(moments, WINDOW_MS):
            if end_ms >= self.began_ms + SETTLE_MS and got > self.allowed(end_ms):
                yield Excess(end_ms, got, self.allowed(end_ms))
