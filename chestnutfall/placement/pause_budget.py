"""How much prefill the streams on one engine tolerate."""

from __future__ import annotations

from collections import Counter

from .prefill_window import PrefillWindow

GAP_UP = 0.01
GAP_DOWN = 0.09
"""A stream raises the estimated gap by the first part if its own gap was longer, and lowers it by
the second if not, so that one stream in ten has a shorter gap than the estimate. The gap without
prefill is wanted: the mean over all streams is twice as long on a busy engine, and would cost a
fifth of its prefill."""
GAPS_KEPT = 1.5
"""Usual gaps that are kept free of prefill in each pause objective: one for the event, and half of
one for steps that take longer with more streams."""
BUDGET_SHARE = 0.9
"""Part of the rest that is used; estimates of prefill times are wrong by a tenth."""
MIN_PREFILL_SHARE = 0.3
"""Part of a pause objective that prefill gets even where the gaps between events leave less: an
engine without any prefill serves no request."""


class PauseBudget:
    """Pause objectives of the requests on an engine, and its usual gap between two events.

    Attributes
    ----------
    gap_ms : float
        Estimated time between two events of a stream while there is little prefill.
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
        """Update the estimate by the usual gap of a stream that ended; 0 where it had none."""
        if gap_ms > 0:
            self.gap_ms *= 1 + GAP_UP if gap_ms > self.gap_ms else 1 - GAP_DOWN

    def window(self, urgent: bool = False, slowdown: float = 1.0) -> PrefillWindow | None:
        """Return the prefill allowed within the tightest objective; None without any objective.

        Parameters
        ----------
        urgent : bool
            Whether the budget may be used in full.
        slowdown : float
            How many times as long as usual the steps of the engine take now.
        """
        tightest_ms = min(self._objectives, default=0)
        if not tightest_ms:
            return None
        kept_ms = GAPS_KEPT * self.gap_ms * slowdown
        free_ms = max(tightest_ms - kept_ms, MIN_PREFILL_SHARE * tightest_ms)
        return PrefillWindow(tightest_ms, free_ms if urgent else BUDGET_SHARE * free_ms)
