"""A base model that engines of a service may hold."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """One base model: its weights in MB, and how long a load from the store takes in ms."""

    name: str
    weights_mb: float
    load_ms: float
    adapter_mb: float
