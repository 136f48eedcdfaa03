"""A record of the faults that each part of a deployment was under, and when."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager

NO_END_S = float("inf")
"""End of a period that has not ended."""


class Disturbances:
    """Periods in which a gateway or an upstream was under a fault.

    Checks use them to excuse behaviour that a fault explains. A part's name is the address at which
    clients reach a gateway, or the announced address of an upstream. Times are of
    `time.monotonic`, in seconds.
    """

    def __init__(self) -> None:
        self._spans: dict[str, list[tuple[float, float]]] = {}

    @contextmanager
    def recorded(self, name: str) -> Iterator[None]:
        """Record a fault on a part for as long as the context lasts."""
        spans = self._spans.setdefault(name, [])
        began_s = time.monotonic()
        spans.append((began_s, NO_END_S))
        index = len(spans) - 1
        try:
            yield
        finally:
            spans[index] = (began_s, time.monotonic())

    def record(self, name: str, began_s: float, ended_s: float) -> None:
        """Record a fault on a part whose end is known."""
        self._spans.setdefault(name, []).append((began_s, ended_s))

    def overlaps(self, name: str, from_s: float, until_s: float) -> bool:
        """Return whether a fault on a part overlaps the period from `from_s` to `until_s`."""
        spans = self._spans.get(name, ())
        return any(began_s <= until_s and ended_s >= from_s for began_s, ended_s in spans)
