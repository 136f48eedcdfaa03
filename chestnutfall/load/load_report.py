"""Outcomes and latencies of a load."""

from __future__ import annotations

from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 600_000_000
"""Longest latency that the histograms hold: ten minutes."""
SIGNIFICANT_DIGITS = 3
"""Decimal digits to which the histograms keep a latency."""
PERCENTILES = (50, 95, 99)


class LoadReport:
    """Counts outcomes, and keeps histograms of latencies by priority class.

    Latencies count from when a request was due, not from when it was sent: a client that falls
    behind its plan would otherwise hide the wait (coordinated omission).

    Attributes
    ----------
    outcomes : Counter of str
        Requests by outcome: `answered`, `broken`, `cancelled` or the error code of a refusal.
    """

    def __init__(self) -> None:
        self.outcomes: Counter[str] = Counter()
        self._first_event: dict[str, HdrHistogram] = {}
        self._whole_answer: dict[str, HdrHistogram] = {}

    def record_answer(self, priority: str, first_ms: float, whole_ms: float) -> None:
        """Count a complete answer.

        Parameters
        ----------
        first_ms, whole_ms : float
            Latency until the first line and until the end of the answer.
        """
        self.outcomes["answered"] += 1
        _record(self._first_event, priority, first_ms)
        _record(self._whole_answer, priority, whole_ms)

    def record_failure(self, outcome: str) -> None:
        """Count a request without a complete answer by its outcome."""
        self.outcomes[outcome] += 1

    def as_dict(self) -> dict[str, Any]:
        """Return counts and percentiles in ms, for output as JSON."""
        return {
            "outcomes": dict(self.outcomes),
            "first_event_ms": {name: _percentiles(h) for name, h in self._first_event.items()},
            "whole_answer_ms": {name: _percentiles(h) for name, h in self._whole_answer.items()},
        }


def _record(histograms: dict[str, HdrHistogram], priority: str, ms: float) -> None:
    if priority not in histograms:
        histograms[priority] = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    histograms[priority].record_value(max(int(ms * 1000), 1))


def _percentiles(histogram: HdrHistogram) -> dict[str, float]:
    percentiles = {f"p{p}": histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES}
    return percentiles | {"count": histogram.get_total_count()}
