"""Rate of recent events."""

from __future__ import annotations

import math

TIME_CONSTANT_MS = 500.0
"""Half a second of calls shows how many come, also while their number rises."""


class DemandRate:
    """Events per ms, as a moving average that fades exponentially."""

    def __init__(self) -> None:
        self._count = 0.0
        self._at_ms = 0

    def note(self, now_ms: int) -> None:
        """Count an event."""
        self._fade(now_ms)
        self._count += 1

    def per_ms(self, now_ms: int) -> float:
        """Return the present rate."""
        self._fade(now_ms)
        return self._count / TIME_CONSTANT_MS

    def _fade(self, now_ms: int) -> None:
        self._count *= math.exp((self._at_ms - now_ms) / TIME_CONSTANT_MS)
        self._at_ms = now_ms
