"""A group of upstreams that do the same work."""

from __future__ import annotations

from dataclasses import dataclass

from .engine_spec import EngineSpec


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """One service.

    Attributes
    ----------
    name : str
        Name that routes and upstreams refer to.
    engine : EngineSpec or None
        Capacity of its engines; None for a plain service.
    max_connections : int
        Connections that each of its upstreams accepts from all gateways together; 0 if no limit is
        known.
    """

    name: str
    engine: EngineSpec | None
    max_connections: int = 0
