"""What came of the load."""

from __future__ import annotations

from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

LONGEST_US = 600_000_000
PERCENTILES = (50, 95, 99)


class LoadReport:
    """Outcomes and times by priority class.

    Times count from when a request was due, not from when it could be sent: a client that falls
    behind would otherwise hide the wait (coordinated omission).
    """

    def __init__(self) -> None:
        self.outcomes: Counter[str] = Counter()
        self._first: dict[str, HdrHistogram] = {}
        self._whole: dict[str, HdrHistogram] = {}

    def answered(self, priority: str, first_ms: float, whole_ms: float) -> None:
        """Note a whole answer."""
        self.outcomes["answered"] += 1
        _record(self._first, priority, first_ms)
        _record(self._whole, priority, whole_ms)

    def ended(self, outcome: str) -> None:
        """Note another end: a refusal's code, `broken`, `cancelled`."""
        self.outcomes[outcome] += 1

    def as_dict(self) -> dict[str, Any]:
        """The report for JSON."""
        return {
            "outcomes": dict(self.outcomes),
            "first_event_ms": {name: _percentiles(h) for name, h in self._first.items()},
            "whole_answer_ms": {name: _percentiles(h) for name, h in self._whole.items()},
        }


def _record(histograms: dict[str, HdrHistogram], name: str, ms: float) -> None:
    if name not in histograms:
        histograms[name] = HdrHistogram(1, LONGEST_US, 3)
    histograms[name].record_value(max(int(ms * 1000), 1))


def _percentiles(histogram: HdrHistogram) -> dict[str, float]:
    found = {f"p{p}": histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES}
    return found | {"count": histogram.get_total_count()}
