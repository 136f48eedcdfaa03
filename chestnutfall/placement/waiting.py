"""A request that has no place yet."""

from __future__ import annotations

from dataclasses import dataclass

from .place_request import PlaceRequest


@dataclass(slots=True)
class Waiting:
    """A request in the queue; `instance` is the engine that loads its adapter, if any."""

    req: PlaceRequest
    since_ms: int
    instance: str = ""
    assigned_ms: int = 0

    def order(self, now_ms: int) -> tuple[int, bool, int]:
        """Most urgent first, then who can still be in time, then first come.

        When more arrive than can be placed, first come alone serves everyone late. Those that
        are late already lose little by waiting on, and are refused once they have no hope.
        """
        is_late = now_ms > self.since_ms + self.req.objective_ms
        return self.req.rank, is_late, self.since_ms
