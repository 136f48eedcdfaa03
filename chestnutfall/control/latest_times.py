"""The latest time of something by key, with bounded memory."""

from __future__ import annotations

from collections.abc import Iterable

MAX_KEYS = 8_192
"""Keys that are kept; about 150 bytes each."""
NEVER_MS = -1
"""Time of a key that nothing is known of."""


class LatestTimes:
    """Clock times by key; the keys that were noted longest ago are dropped."""

    def __init__(self, most: int = MAX_KEYS) -> None:
        self._most = most
        self._times_ms: dict[str, int] = {}

    def note(self, keys: Iterable[str], at_ms: int) -> None:
        """Record a time for each key, unless a later one is known."""
        for key in keys:
            known_ms = self._times_ms.pop(key, NEVER_MS)
            self._times_ms[key] = max(known_ms, at_ms)
        while len(self._times_ms) > self._most:
            del self._times_ms[next(iter(self._times_ms))]

    def last_ms(self, key: str) -> int:
        """Return the latest time of a key; `NEVER_MS` if none is known."""
        return self._times_ms.get(key, NEVER_MS)
