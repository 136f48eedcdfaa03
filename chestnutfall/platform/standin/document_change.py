"""Changes of each kind that an operator makes to a document, one after another."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

from .operator import ENGINES, PLAIN
from .tenants import BUSY_BURST, GUEST, KEYS

DESK, SCRIPTS = "desk", "scripts"
"""A second plain service and a second one of engines, which come and go."""
SHIFTING, SHIFTING_STREAM = "shift", "shift-long"
"""Routes that are split between two services, move, come and go."""
COMMON_FIELDS = ("host", "timeout_ms", "slo_ms", "gap_aim_ms", "attempts")
SHORTEST_TIMEOUT_MS = 2_200
SHORTEST_IDLE_MS = 1_000


class ChangeKind(Enum):
    """What differs between two versions of a document."""

    TIMEOUT = "timeout"
    ROUTE_MOVED = "route moved"
    ROUTE_ADDED_OR_DROPPED = "route added or dropped"
    WEIGHTS = "weights split"
    WEIGHT_ZERO = "weight to 0"
    IDLE_LIMIT = "idle limit"
    HEADER_LIMITS = "header limits"
    SERVICE_ADDED_OR_DROPPED = "service added or dropped"
    CONNECTIONS = "connections to an upstream"
    QUOTA = "quota"
    ORGANISATION_ADDED_OR_DROPPED = "organisation added or dropped"


@dataclass(frozen=True, slots=True)
class DocumentState:
    """What the changes have made of a document.

    Attributes
    ----------
    timeout_ms : int
        Timeout of all routes.
    second_weight, first_weight : float
        Shares of the shifting routes that go to the second services, and to the others.
    has_shifting, has_second : bool
        Whether the document has these routes, and the second services.
    max_conns : int
        Connections to one upstream of each service; 0 for no limit.
    guest_per_s : float
        Quota of the organisation `GUEST`.
    has_guest : bool
        Whether the document has that organisation.
    """

    timeout_ms: int = 3_000
    second_weight: float = 0.0
    first_weight: float = 1.0
    has_shifting: bool = False
    has_second: bool = False
    idle_timeout_ms: int = 60_000
    header_timeout_ms: int = 10_000
    max_header_bytes: int = 16_384
    max_conns: int = 0
    guest_per_s: float = 50.0
    has_guest: bool = False

    def changed(self, kind: ChangeKind, rng: random.Random) -> DocumentState:
        """Return a state that differs by one change of a kind."""
        match kind:
            case ChangeKind.TIMEOUT:
                return replace(self, timeout_ms=rng.choice((SHORTEST_TIMEOUT_MS, 3_000, 5_000)))
            case ChangeKind.ROUTE_MOVED:
                to_second = self.has_second and not self.second_weight
                return self._weighted(float(to_second), float(not to_second))
            case ChangeKind.ROUTE_ADDED_OR_DROPPED:
                return replace(self, has_shifting=not self.has_shifting)
            case ChangeKind.WEIGHTS:
                share = rng.uniform(0.1, 0.9)
                return self._weighted(share, 1 - share) if self.has_second else self
            case ChangeKind.WEIGHT_ZERO:
                return self._weighted(0.0, 1.0)
            case ChangeKind.IDLE_LIMIT:
                idle_ms = rng.choice((SHORTEST_IDLE_MS, 2_500, 60_000))
                return replace(self, idle_timeout_ms=idle_ms)
            case ChangeKind.HEADER_LIMITS:
                return replace(
                    self,
                    max_header_bytes=rng.choice((8_192, 16_384, 32_768)),
                    header_timeout_ms=rng.choice((1_000, 10_000)),
                )
            case ChangeKind.SERVICE_ADDED_OR_DROPPED:
                return replace(self._weighted(0.0, 1.0), has_second=not self.has_second)
            case ChangeKind.CONNECTIONS:
                return replace(self, max_conns=rng.choice((0, 30, 60)))
            case ChangeKind.QUOTA:
                return replace(self, guest_per_s=rng.choice((5.0, 20.0, 50.0)))
            case ChangeKind.ORGANISATION_ADDED_OR_DROPPED:
                return replace(self, has_guest=not self.has_guest)

    def _weighted(self, second: float, first: float) -> DocumentState:
        return replace(self, second_weight=second, first_weight=first)

    def apply(self, whole: dict[str, Any]) -> None:
        """Change the usual document, in its JSON form, to this state."""
        routes, services = whole["routes"], whole["services"]
        for route in routes:
            route["timeout_ms"] = self.timeout_ms
        if self.has_second:
            engine = services[0]["engine"]
            services += [{"name": DESK}, {"name": SCRIPTS, "engine": engine}]
        for service in services:
            service["max_conns"] = self.max_conns
        if self.has_shifting:
            common = {name: routes[0][name] for name in COMMON_FIELDS}
            stream = {"kind": "stream", "resumable": True}
            routes.append(common | self._shifting(SHIFTING, PLAIN, DESK) | {"kind": "safe"})
            routes.append(common | self._shifting(SHIFTING_STREAM, ENGINES, SCRIPTS) | stream)
        if self.has_guest:
            guest = {"name": GUEST, "api_keys": [KEYS[GUEST]], "burst": BUSY_BURST}
            whole["tenants"].append(guest | {"rate_per_s": self.guest_per_s})
        whole["limits"] = {
            "idle_timeout_ms": self.idle_timeout_ms,
            "header_timeout_ms": self.header_timeout_ms,
            "max_header_bytes": self.max_header_bytes,
        }

    def _shifting(self, name: str, first: str, second: str) -> dict[str, Any]:
        """Return a route that is split between a service and its second one."""
        targets = [{"service": first, "weight": self.first_weight}]
        if self.has_second:
            targets.append({"service": second, "weight": self.second_weight})
        return {"name": name, "path_prefix": f"/{name}/", "backends": targets}


WHOLE = DocumentState(has_shifting=True, has_second=True, has_guest=True)
"""Has everything that changes concern."""
