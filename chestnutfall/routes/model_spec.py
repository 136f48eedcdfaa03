"""A base model that engines of a service may hold."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """One base model.

    Attributes
    ----------
    name : str
        Name by which engines report it.
    weights_mb : float
        Size of its weights, in MB.
    """

    name: str
    weights_mb: float
