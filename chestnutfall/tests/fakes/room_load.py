"""Calls of one kind and organisation in a simulated deployment."""

from __future__ import annotations

from dataclasses import dataclass

from ...routes import Route, RouteKind, WeightedService

SERVICE = "plain"
HOP_MS = 1.0
TICK_MS = 8
OBJECTIVE_MS, TIMEOUT_MS, DEADLINE_MS = 300, 800, 1_500


@dataclass(frozen=True, slots=True)
class Load:
    """Calls of one kind and organisation that come at random.

    Attributes
    ----------
    per_s : float
        Calls per second.
    rank : int
        Urgency, 0 is first.
    """

    kind: str
    per_s: float
    organisation: str = "usual"
    rank: int = 1
    idempotent: bool = False

    def route(self) -> Route:
        """The route of these calls."""
        kind = RouteKind.IDEMPOTENT if self.idempotent else RouteKind.NON_IDEMPOTENT
        targets = (WeightedService(SERVICE, 1),)
        attempts = 2 if self.idempotent else 1
        return Route(
            self.kind, "h", "/", kind, TIMEOUT_MS, OBJECTIVE_MS, self.rank, targets, attempts
        )
