"""What every engine of a service can hold and run."""

from __future__ import annotations

from dataclasses import dataclass

from .model_spec import ModelSpec


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Engines of one service.

    Attributes
    ----------
    batch : int
        Requests that run at once.
    kv_tokens : int
        Tokens that fit into memory.
    weights_mb : float
        Memory for the weights of models and adapters together.
    adapter_slots : int
        Adapters that fit, those in transit included.
    loads_per_s : float
        Loads of models from the weight store, over all engines.
    """

    batch: int
    kv_tokens: int
    models: tuple[ModelSpec, ...]
    weights_mb: float
    adapter_slots: int
    loads_per_s: float
