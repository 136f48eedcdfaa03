"""How much reading the streams on one engine bear."""

from __future__ import annotations

from collections import Counter

from .read_window import ReadWindow

GAP_UP = 0.01
GAP_DOWN = 0.09
"""Each stream moves the time between two events by these parts, up if its own was longer and down
if not, so that one stream in ten has a shorter one. What counts is the time without reading; the
mean over all streams was twice as long on a busy engine, and cost a fifth of its reading."""
GAPS_KEPT = 1.5
"""Usual gaps that are kept free of reading in each pause objective: one for the event, and half of
one for steps that take longer beside more streams."""
SURE_PART = 0.9
"""Part of the rest that is used: estimates of reading are wrong by a tenth."""
LEAST_READ_PART = 0.3
"""Part of a pause objective that reading gets even where the gaps between events leave less; an
engine that never reads serves nobody."""


class PauseBudget:
    """Pause objectives of the requests on an engine, and how long its events are apart.

    Attributes
    ----------
    gap_ms : float
        Time between two events of a stream while little is read beside it.
    """

    def __init__(self, gap_ms: float) -> None:
        self.gap_ms = gap_ms
        self._objectives: Counter[int] = Counter()

    def add(self, objective_ms: int) -> None:
        """Count a request; 0 is one without a pause objective."""
        if objective_ms:
            self._objectives[objective_ms] += 1

    def remove(self, objective_ms: int) -> None:
        """Stop counting a request."""
        if objective_ms:
            self._objectives[objective_ms] -= 1
            self._objectives += Counter()

    def learn(self, gap_ms: float) -> None:
        """Take in the usual gap of a stream that ended; 0 where it had none."""
        if gap_ms > 0:
            self.gap_ms *= 1 + GAP_UP if gap_ms > self.gap_ms else 1 - GAP_DOWN

    def window(self, urgent: bool = False) -> ReadWindow | None:
        """Most reading in any span of the tightest objective; None when there is none."""
        tightest_ms = min(self._objectives, default=0)
        if not tightest_ms:
            return None
        free_ms = max(tightest_ms - GAPS_KEPT * self.gap_ms, LEAST_READ_PART * tightest_ms)
        return ReadWindow(tightest_ms, free_ms if urgent else SURE_PART * free_ms)
