"""A target of a route with its weight."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that gets a share of a route's requests.

    Attributes
    ----------
    service : str
        Name of the service.
    weight : float
        Share relative to the weights of the route's other services; 0 for no requests.
    """

    service: str
    weight: float
