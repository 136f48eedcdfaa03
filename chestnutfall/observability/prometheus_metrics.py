"""Counters, gauges and latency histograms in the Prometheus text format."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator

BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000)
"""Upper bounds of the histogram buckets, from a local call to a long request."""


class PrometheusMetrics:
    """Keeps counters, gauges and latency histograms in memory until they are scraped.

    Each metric is created by its first use.
    """

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}
        self._buckets: dict[str, list[int]] = {}
        self._sums: Counter[str] = Counter()

    def count(self, name: str, by: int = 1) -> None:
        """Add `by` to a counter."""
        self._counts[name] += by

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def total(self, name: str, value: int) -> None:
        """Set a counter to a total that the caller counts itself."""
        self._counts[name] = value

    def observe(self, name: str, ms: float) -> None:
        """Add a duration to a histogram; its sum counts whole milliseconds only."""
        buckets = self._buckets.setdefault(name, [0] * (len(BOUNDS_MS) + 1))
        buckets[bisect_left(BOUNDS_MS, ms)] += 1
        self._sums[name] += int(ms)

    def text(self) -> str:
        """Return all metrics in the Prometheus text format, sorted by name."""
        return "\n".join(self._lines()) + "\n"

    def _lines(self) -> Iterator[str]:
        for name, count in sorted(self._counts.items()):
            yield f"chestnutfall_{name}_total {count}"
        for name, value in sorted(self._gauges.items()):
            yield f"chestnutfall_{name} {value:g}"
        for name, buckets in sorted(self._buckets.items()):
            total = 0
            for bound, count in zip((*BOUNDS_MS, "+Inf"), buckets, strict=True):
                total += count
                yield f'chestnutfall_{name}_bucket{{le="{bound}"}} {total}'
            yield f"chestnutfall_{name}_sum {self._sums[name]}"
            yield f"chestnutfall_{name}_count {total}"
