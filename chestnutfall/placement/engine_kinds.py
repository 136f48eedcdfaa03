"""Learned figures of the engines of each service."""

from __future__ import annotations

import statistics
from collections.abc import Collection, Iterator

from .engine import Engine
from .engine_kind import EngineKind
from .prefill_speed import PrefillSpeed
from .store_times import StoreTimes


class EngineKinds:
    """Estimates that all engines of a service share, and the starting values of a new engine."""

    def __init__(self) -> None:
        self._known: dict[str, EngineKind] = {}
        self._speeds: dict[str, PrefillSpeed] = {}
        self._store_times: dict[str, StoreTimes] = {}

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
                )
