"""How often each adapter was asked for lately."""

from __future__ import annotations

import math

from .adapter_name import AdapterName

HALF_LIFE_MS = 8_000
"""Demand moves within several seconds when it shifts; a slower meter keeps yesterday's adapters."""
MAX_ADAPTERS = 20_000
"""About 3 MB of counters; beyond it the whole table is thinned out."""
_FORGET_BELOW = 0.02


class Demand:
    """Requests by adapter, decaying with time."""

    def __init__(self) -> None:
        self._counts: dict[AdapterName, tuple[float, int]] = {}

    def note(self, adapter: AdapterName, now_ms: int) -> None:
        """Count one request."""
        self._counts[adapter] = (self.level(adapter, now_ms) + 1, now_ms)
        if len(self._counts) > MAX_ADAPTERS:
            self._thin_out(now_ms)

    def note_held(self, adapter: AdapterName, now_ms: int) -> None:
        """Count an adapter that an engine was found to hold; someone wanted it not long ago.

        A new leader knows of no request yet. Without this it evicts popular adapters and rare
        ones alike for the first requests that it sees.
        """
        if adapter not in self._counts:
            self._counts[adapter] = (1.0, now_ms)

    def level(self, adapter: AdapterName, now_ms: int) -> float:
        """Decayed number of requests."""
        count, at_ms = self._counts.get(adapter, (0.0, now_ms))
        return count * math.exp2((at_ms - now_ms) / HALF_LIFE_MS)

    def per_s(self, adapter: AdapterName, now_ms: int) -> float:
        """Requests a second, as if the level had been steady."""
        return self.level(adapter, now_ms) * 693.0 / HALF_LIFE_MS

    def _thin_out(self, now_ms: int) -> None:
        kept = {
            adapter: count
            for adapter, count in self._counts.items()
            if self.level(adapter, now_ms) > _FORGET_BELOW
        }
        self._counts = kept if len(kept) <= MAX_ADAPTERS else {}
