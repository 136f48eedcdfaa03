"""How long a load of an adapter takes on one engine, learned from its use."""

from __future__ import annotations

LEAST_MS = 20.0
"""No load is faster than a round trip and a few steps of the engine."""
MOST_MS = 5_000.0
"""Longer than any request waits; a bound against a broken measurement."""
TOO_SHORT = 1.05
TOO_LONG = 0.995
"""Set to 5 % over the time that was too short, and lowered by 0.5 % with each load that had ended:
about one load in ten then costs one more send, and a raise by a passing trouble is gone in some
tens of loads."""
PLAUSIBLE = 1.5
"""A load that is still not there after this many times the estimate never began, or was undone."""
RECENT_PART = 0.1
"""An adapter that its engine held recently comes from its own memory, ten times as fast."""


class LoadTimer:
    """Expected time of a load, ms, from a first guess."""

    def __init__(self, guess_ms: float) -> None:
        self._ms = guess_ms

    def expected_ms(self, recent: bool) -> float:
        """Time of a load, from the engine's own memory (`recent`) or from the weight store."""
        return max(self._ms * RECENT_PART, LEAST_MS) if recent else self._ms

    def came_too_early(self, after_ms: float) -> None:
        """A load had not ended `after_ms` after its order.

        Many loads that were ordered under one estimate tell this at the same time. Their own age
        counts, so that together they raise it no further than one of them.
        """
        if after_ms <= PLAUSIBLE * self._ms:
            self._ms = max(self._ms, min(after_ms * TOO_SHORT, MOST_MS))

    def was_ready(self) -> None:
        """A load had ended when its first request came."""
        self._ms = max(self._ms * TOO_LONG, LEAST_MS)
