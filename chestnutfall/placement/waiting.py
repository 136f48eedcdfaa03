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

    @property
    def order(self) -> tuple[int, int]:
        """Most urgent first, then first come."""
        return self.req.rank, self.since_ms
