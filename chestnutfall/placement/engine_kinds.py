"""Learned figures of the engines of each service."""

from __future__ import annotations

import statistics
from collections.abc import Collection, Iterable, Iterator

from .engine import Engine
from .engine_kind import EngineKind
from .prefill_speed import PrefillSpeed
from .store_times import StoreTimes
from .usual_gap import UsualGap

MAX_RESCALE = 0.05
"""Part by which the figures of a service are corrected each second if half of its engines differ
from them in the same direction. What holds for an engine is the product, which stays the same."""
MAX_RATIOS = 64
"""Engines of a service whose own speeds are stored, the slowest first."""


class EngineKinds:
    """Estimates that all engines of a service share, and the starting values of a new engine."""

    def __init__(self) -> None:
        self._known: dict[str, EngineKind] = {}
        self._speeds: dict[str, PrefillSpeed] = {}
        self._store_times: dict[str, StoreTimes] = {}
        self._gaps: dict[str, UsualGap] = {}

    def restore(self, service: str, kind: EngineKind) -> None:
        """Set the figures that an earlier leader stored, before any engine is added."""
        self._known[service] = kind

    def of(self, service: str) -> EngineKind:
        """Return the starting figures of a new engine."""
        return self._known.get(service, EngineKind())

    def prefill_speed_of(self, service: str) -> PrefillSpeed:
        """Return the prefill speed that all engines of the service share."""
        return self._speeds.setdefault(service, PrefillSpeed(self.of(service)))

    def store_times_of(self, service: str) -> StoreTimes:
        """Return the load times that all engines of the service share."""
        return self._store_times.setdefault(service, StoreTimes())

    def usual_gap_of(self, service: str) -> UsualGap:
        """Return the usual gap between events, which all engines of the service share."""
        return self._gaps.setdefault(service, UsualGap())

    def review(self, engines: Collection[Engine], now_ms: int) -> None:
        """Correct the speeds of engines and services by each other; called each second.

        Ratios of engines that got no requests move back towards 1. If all engines of a service
        became slower together, the service did: its figures change, and the ratios that grew
        meanwhile are 1 again.
        """
        for engine in engines:
            if not engine.running:
                engine.speed.decay_if_idle(now_ms)
        for service, speed in self._speeds.items():
            own = [one for one in engines if one.service == service]
            median = statistics.median(one.speed.usual for one in own) if own else 1.0
            factor = min(max(median, 1 - MAX_RESCALE), 1 + MAX_RESCALE)
            speed.rescale(factor)
            self.usual_gap_of(service).rescale(factor)
            for engine in own:
                engine.speed.rescale(1 / factor, now_ms)

    def learned(self, engines: Collection[Engine]) -> Iterator[tuple[str, EngineKind]]:
        """Yield the figures of each service that has learned them from enough answers."""
        for service, speed in self._speeds.items():
            own = [one for one in engines if one.service == service]
            if own and speed.is_learned:
                yield service, EngineKind(
                    speed.first_ms,
                    speed.ms_per_token,
                    speed.usual_tokens,
                    statistics.median(one.pauses.gap_ms for one in own),
                    # A store is busy for seconds only. If the time of a busy second were stored,
                    # the next leader would wait that long for each of its first loads.
                    statistics.median(one.load_time.usual_ms for one in own),
                    _slow_ratios(own),
                )


def _slow_ratios(engines: Iterable[Engine]) -> dict[str, float]:
    """Return the ratios of the slowest engines."""
    slow = [one for one in engines if one.speed.is_slow]
    slow.sort(key=lambda one: one.speed.usual, reverse=True)
    return {one.instance: round(one.speed.usual, 2) for one in slow[:MAX_RATIOS]}
