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
    """

    name: str
    engine: EngineSpec | None
