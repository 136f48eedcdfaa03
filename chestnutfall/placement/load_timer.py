"""How long a load of an adapter takes, learned from its use."""

from __future__ import annotations

START_MS = 250.0
"""First guess; a wrong one is corrected within some tens of loads."""
LEAST_MS = 20.0
MOST_MS = 5_000.0
TOO_SHORT = 1.05
TOO_LONG = 0.999
"""Raised by 5 % when a load's first request came too early, lowered by 0.1 % when not: about one
load in fifty then costs one more send."""
RECENT_PART = 0.1
"""An adapter that its engine held recently comes from its own memory, ten times as fast."""


class LoadTimer:
    """Expected time of a load, ms."""

    def __init__(self) -> None:
        self._ms = START_MS

    def expected_ms(self, recent: bool, in_transit: int, at_full_speed: int) -> float:
        """Time of a load while `in_transit` others are on their way over all engines."""
        if recent:
            return max(self._ms * RECENT_PART, LEAST_MS)
        return self._ms * max(1.0, in_transit / max(at_full_speed, 1))

    def came_too_early(self) -> None:
        """A request came before the load had ended."""
        self._ms = min(self._ms * TOO_SHORT, MOST_MS)

    def was_ready(self) -> None:
        """A load had ended when its first request came."""
        self._ms = max(self._ms * TOO_LONG, LEAST_MS)
