"""Engines whose answers report that other work on their hosts slows them down."""

from __future__ import annotations

from collections.abc import Mapping

from ..clock import Clock
from .engine import Engine


class SlowedEngines:
    """Applies reported slowdowns to engines, and drops those that no longer count.

    The cost of a decision round grows with the engines that are slowed down, not with all of them.
    """

    def __init__(self, engines: Mapping[str, Engine], clock: Clock) -> None:
        self._engines = engines
        self._clock = clock
        self._slowed: set[str] = set()

    def __len__(self) -> int:
        """Number of engines with a report that counted in the last decision round."""
        return len(self._slowed)

    def note_all(self, slowdowns: Mapping[str, float]) -> None:
        """Record how many times as long as usual the work of engines takes now, by instance."""
        now_ms = self._clock.now_ms()
        for instance, slowdown in slowdowns.items():
            engine = self._engines.get(instance)
            if engine is not None:
                engine.speed.note_report(slowdown, now_ms)
                self._slowed.add(instance)

    def refresh(self, now_ms: int) -> None:
        """Drop the reports that no longer count; called before each decision round."""
        for instance in tuple(self._slowed):
            engine = self._engines.get(instance)
            if engine is None or not engine.speed.refresh(now_ms):
                self._slowed.discard(instance)
