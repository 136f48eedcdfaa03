"""Usual time of a call, learned from calls that ended."""

from __future__ import annotations

WEIGHT = 0.02
"""A change of the usual time counts in full after about a hundred calls."""
MAX_RUN_MS = 60_000.0


class RunTime:
    """Moving mean and mean deviation of the times of calls.

    The first calls that end are the shortest, so the default counts like one of the first calls.

    Attributes
    ----------
    mean_ms : float
        Mean time of a call; the default before the first one.
    """

    def __init__(self, default_ms: float = 0.0) -> None:
        self.mean_ms = default_ms
        self._deviation_ms = 0.0
        self._calls = 0

    def note(self, run_ms: float) -> None:
        """Record the time of a call; a value that can't be one is ignored."""
        if not 0 < run_ms <= MAX_RUN_MS:
            return
        self._calls += 1
        weight = max(WEIGHT, 1 / (self._calls + 1))
        self._deviation_ms += weight * (abs(run_ms - self.mean_ms) - self._deviation_ms)
        self.mean_ms += weight * (run_ms - self.mean_ms)

    def suggest(self, run_ms: float) -> None:
        """Take a time that another process learned, unless there is one already."""
        if not self._calls:
            self.note(run_ms)

    @property
    def learned_ms(self) -> float:
        """The mean, or 0 before the first call."""
        return self.mean_ms if self._calls else 0.0

    @property
    def usual_ms(self) -> float:
        """Time in which most calls end."""
        return self.mean_ms + self._deviation_ms

    @property
    def long_ms(self) -> float:
        """Time in which nearly all calls end."""
        return self.mean_ms + 3 * self._deviation_ms
