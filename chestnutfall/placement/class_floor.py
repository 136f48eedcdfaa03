"""Least share of its requests that each class of a service is served while room is short."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

MEMORY_MS = 2_000.0
"""Time constant of the counts: as long as callers wait, so that no class is passed over for longer
than its requests live."""
FLOOR = 0.6
"""Least share of its requests that a class is served, as a part of the share over all classes. A
class counts as starved at half; the margin covers bunches of arrivals."""
SHORT_SHARE = 0.95
"""Room is short while less than this share of all requests is served; withdrawals take the rest."""

MIN_OWED = 0.1
"""A smaller part of a request is what remains of a class that no longer asks."""


@dataclass(slots=True)
class _ClassCounts:
    """Requests of one class that arrived and that were granted, each decaying with time."""

    arrived: float = 0.0
    granted: float = 0.0
    at_ms: int = 0

    def decay(self, now_ms: int) -> None:
        factor = math.exp((self.at_ms - now_ms) / MEMORY_MS)
        self.arrived *= factor
        self.granted *= factor
        self.at_ms = now_ms


@dataclass(slots=True)
class _ServiceCounts:
    """Counts of one service by rank."""

    by_rank: dict[int, _ClassCounts] = field(default_factory=dict)

    def of(self, rank: int, now_ms: int) -> _ClassCounts:
        counts = self.by_rank.setdefault(rank, _ClassCounts(at_ms=now_ms))
        counts.decay(now_ms)
        return counts


class ClassFloor:
    """Counts what the classes of each service are served, and how much each is owed.

    A class is the requests of one rank. Strict order by rank serves the others nothing as soon as
    the most urgent class alone exceeds the room.
    """

    def __init__(self) -> None:
        self._services: dict[str, _ServiceCounts] = {}

    def note_arrival(self, service: str, rank: int, now_ms: int) -> None:
        """Count a request that was submitted."""
        counts = self._services.setdefault(service, _ServiceCounts())
        counts.of(rank, now_ms).arrived += 1

    def note_grant(self, service: str, rank: int, now_ms: int) -> None:
        """Count a request that is sent to an engine."""
        counts = self._services.setdefault(service, _ServiceCounts())
        counts.of(rank, now_ms).granted += 1

    def has_classes(self, service: str) -> bool:
        """Whether requests of more than one rank arrived at a service."""
        known = self._services.get(service)
        return known is not None and len(known.by_rank) > 1

    def owed(self, service: str, now_ms: int) -> dict[int, int]:
        """Return how many requests of each rank go before all others, where any do.

        A service with one class, or with room for all requests, owes nothing.
        """
        known = self._services.get(service)
        if known is None or not self.has_classes(service):
            return {}
        classes = {rank: known.of(rank, now_ms) for rank in known.by_rank}
        arrived = sum(counts.arrived for counts in classes.values())
        granted = sum(counts.granted for counts in classes.values())
        if granted >= SHORT_SHARE * arrived:
            return {}
        share = FLOOR * granted / arrived
        missing = {
            rank: share * counts.arrived - counts.granted for rank, counts in classes.items()
        }
        return {rank: math.ceil(part) for rank, part in missing.items() if part > MIN_OWED}
