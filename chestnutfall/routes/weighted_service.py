"""One share of a split route."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its weight among the route's others."""

    service: str
    weight: float
