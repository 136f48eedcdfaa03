"""A group of upstreams that do the same work."""

from __future__ import annotations

from dataclasses import dataclass

from .engine_spec import EngineSpec


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """One service; `engine` is None for plain services."""

    name: str
    engine: EngineSpec | None
