"""A base model that engines of a service may hold."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """One base model, and the size of its weights in MB."""

    name: str
    weights_mb: float
