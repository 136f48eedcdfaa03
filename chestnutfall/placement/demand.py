"""Recent demand for each adapter."""

from __future__ import annotations

import math

from .adapter_name import AdapterName

HALF_LIFE_MS = 8_000
"""Popularity shifts within several seconds; a longer half-life keeps adapters that are no longer in
demand."""
MAX_ADAPTERS = 20_000
"""About 3 MB of counters; beyond it the whole table is thinned out."""
MAX_NAME_CHARACTERS = 256
"""Longer than the name of any adapter that is made; requests for others name anything."""
_FORGET_BELOW = 0.02


class Demand:
    """Number of requests by adapter, decaying exponentially with time."""

    def __init__(self) -> None:
        self._counts: dict[AdapterName, tuple[float, int]] = {}

    def __len__(self) -> int:
        return len(self._counts)

    def note(self, adapter: AdapterName, now_ms: int) -> None:
        """Count one request."""
        if len(adapter.model) + len(adapter.adapter) > MAX_NAME_CHARACTERS:
            return
        self._counts[adapter] = (self.level(adapter, now_ms) + 1, now_ms)
        if len(self._counts) > MAX_ADAPTERS:
            self._thin_out(now_ms)

    def note_held(self, adapter: AdapterName, now_ms: int) -> None:
        """Count one request for an adapter that an engine reports, unless it has a count already.

        A new leader has counted no requests yet, and would evict popular and rare adapters alike
        for its first requests. An adapter that an engine holds was in demand not long ago.
        """
        if adapter not in self._counts:
            self._counts[adapter] = (1.0, now_ms)

    def level(self, adapter: AdapterName, now_ms: int) -> float:
        """Decayed number of requests."""
        count, at_ms = self._counts.get(adapter, (0.0, now_ms))
        return count * math.exp2((at_ms - now_ms) / HALF_LIFE_MS)

    def per_s(self, adapter: AdapterName, now_ms: int) -> float:
        """Requests a second, as if the level had been steady."""
        return level_per_s(self.level(adapter, now_ms))

    def _thin_out(self, now_ms: int) -> None:
        """Drop counts that decayed to almost nothing, or all if too many remain."""
        kept = {
            adapter: count
            for adapter, count in self._counts.items()
            if self.level(adapter, now_ms) > _FORGET_BELOW
        }
        self._counts = kept if len(kept) <= MAX_ADAPTERS else {}


def level_per_s(level: float) -> float:
    """Requests a second of an adapter whose level has been steady."""
    return level * 693.0 / HALF_LIFE_MS
