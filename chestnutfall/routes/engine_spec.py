"""Capacity of the engines of one service."""

from __future__ import annotations

from dataclasses import dataclass

from .model_spec import ModelSpec


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Capacity that each engine of a service has.

    Attributes
    ----------
    batch : int
        Most requests that run at once.
    kv_tokens : int
        Tokens whose keys and values fit into the engine's memory.
    models : tuple of ModelSpec
        Base models that the engines may hold.
    weights_mb : float
        Memory for the weights of models and adapters together, in MB.
    adapter_slots : int
        Adapters that fit, including those that are being loaded.
    loads_per_s : float
        Loads of models from the weight store, a second, over all engines together.
    """

    batch: int
    kv_tokens: int
    models: tuple[ModelSpec, ...]
    weights_mb: float
    adapter_slots: int
    loads_per_s: float
