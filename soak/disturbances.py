"""What was done to which part of an office, and when."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager

FOR_EVER = float("inf")


class Disturbances:
    """Spans of time by name: a gateway's address for callers, or an upstream's address."""

    def __init__(self) -> None:
        self._spans: dict[str, list[tuple[float, float]]] = {}

    @contextmanager
    def on(self, name: str) -> Iterator[None]:
        """Note that something is done to a part while the context lasts."""
        spans = self._spans.setdefault(name, [])
        began_s = time.monotonic()
        spans.append((began_s, FOR_EVER))
        place = len(spans) - 1
        try:
            yield
        finally:
            spans[place] = (began_s, time.monotonic())

    def within(self, name: str, from_s: float, until_s: float) -> bool:
        """Whether anything was done to a part in a time."""
        spans = self._spans.get(name, ())
        return any(began_s <= until_s and ended_s >= from_s for began_s, ended_s in spans)
