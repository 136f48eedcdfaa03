"""Prompt parts of a gateway's broken answers, until they are answered in full."""

from __future__ import annotations

from collections.abc import Iterable

from ..clock import Clock

REMEMBERED_MS = 10_000
"""As long as reports of broken answers are sent again to a new leader."""
MAX_REMEMBERED = 1_024
"""Parts that are kept; those that broke off longest ago are dropped."""


class BrokenParts:
    """Remembers which parts to report when a request that has them is answered.

    A leader that knows neither the answer nor that there was one takes a part that most requests
    have for the cause of all ends.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._broke_ms: dict[str, int] = {}

    def __bool__(self) -> bool:
        return bool(self._broke_ms)

    def note_broken(self, parts: Iterable[str]) -> None:
        """Record that an answer to a request with these parts broke off."""
        now_ms = self._clock.now_ms()
        for part in parts:
            self._broke_ms.pop(part, None)
            self._broke_ms[part] = now_ms
        while len(self._broke_ms) > MAX_REMEMBERED:
            del self._broke_ms[next(iter(self._broke_ms))]

    def take_answered(self, parts: Iterable[str]) -> tuple[str, ...]:
        """Return and forget those parts of an answered request that were in a broken answer."""
        oldest_ms = self._clock.now_ms() - REMEMBERED_MS
        while self._broke_ms and next(iter(self._broke_ms.values())) < oldest_ms:
            del self._broke_ms[next(iter(self._broke_ms))]
        return tuple(one for one in parts if self._broke_ms.pop(one, None) is not None)
