"""Engines whose answers report that other work on their hosts slows them down."""

from __future__ import annotations

from collections.abc import Mapping

from .engine import Engine


class SlowedEngines:
    """Applies reported slowdowns to engines, and drops those that no longer count.

    The cost of a decision round grows with the engines that are slowed down, not with all of them.
    """

    def __init__(self, engines: Mapping[str, Engine]) -> None:
        self._engines = engines
        self._slowed: set[str] = set()

    def note(self, instance: str, slowdown: float, now_ms: int) -> None:
        """Record how many times as long as usual an engine's work takes now, as it reported."""
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
