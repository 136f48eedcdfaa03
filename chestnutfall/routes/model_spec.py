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
    adapter_mb : float
        Size of the weights of each of its adapters, in MB; 0 if unknown.
    """

    name: str
    weights_mb: float
    adapter_mb: float = 0.0
