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

    def model(self, name: str) -> ModelSpec | None:
        """Return the base model of this name; None if the service lists none."""
        return next((one for one in self.models if one.name == name), None)

    def adapter_mb(self, model: str) -> float:
        """Return the size of an adapter of the base model `model`, in MB; 0 if unknown."""
        found = self.model(model)
        return found.adapter_mb if found is not None else 0.0

    def can_hold_adapter(self, model: str) -> bool:
        """Whether an engine that holds nothing but `model` has room for an adapter of it."""
        found = self.model(model)
        if found is None:
            return self.adapter_slots > 0
        free_mb = self.weights_mb - found.weights_mb
        return self.adapter_slots > 0 and found.adapter_mb <= free_mb
