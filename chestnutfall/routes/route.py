"""A route for the requests to one host and path prefix."""

from __future__ import annotations

from dataclasses import dataclass

from .route_kind import RouteKind
from .weighted_service import WeightedService


@dataclass(frozen=True, slots=True)
class Route:
    """Services and rules for the requests to one host and path prefix.

    Attributes
    ----------
    name : str
        Name of the route.
    host, path_prefix : str
        Requests that the route matches; the longest prefix of a host wins.
    kind : RouteKind
        Whether requests may be repeated, and whether answers are streams.
    timeout_ms : int
        Longest time until a request has its final answer.
    objective_ms : int
        Latency objective; for a stream, until its first event.
    rank : int
        Urgency, 0 goes first.
    targets : tuple of WeightedService
        Services that share the requests by weight.
    attempts : int
        Most upstreams that may run one request.
    pause_objective_ms : int
        Longest pause between two events of a stream that still meets the objective.
    public : bool
        Whether requests need no key.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: int
    objective_ms: int
    rank: int
    targets: tuple[WeightedService, ...]
    attempts: int
    pause_objective_ms: int = 0
    public: bool = False

    def service_for(self, draw: float) -> str:
        """Choose a service by weight, from a uniform random `draw` in [0, 1)."""
        left = draw * sum(target.weight for target in self.targets)
        for target in self.targets:
            left -= target.weight
            if left < 0:
                return target.service
        return next(t.service for t in reversed(self.targets) if t.weight > 0)
