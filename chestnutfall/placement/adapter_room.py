"""Room for adapters in one engine."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AdapterRoom:
    """What one engine has left for adapters, in each dimension that bounds them.

    An adapter fits only if it fits in all of them: which one is the tightest depends on the sizes
    of the models and adapters of a deployment. A value below 0 means that the engine holds too
    much already.

    Attributes
    ----------
    slots : int
        Adapters.
    weights_mb : float
        Memory for weights, in MB.
    """

    slots: int
    weights_mb: float

    def fits(self, adapter_mb: float) -> bool:
        """Whether one more adapter of this size fits."""
        return self.slots >= 1 and adapter_mb <= self.weights_mb

    def without(self, adapter_mb: float) -> AdapterRoom:
        """Return the room once an adapter of this size was dropped."""
        return AdapterRoom(self.slots + 1, self.weights_mb + adapter_mb)

    def taken(self, adapter_mb: float) -> AdapterRoom:
        """Return the room once an adapter of this size was added."""
        return AdapterRoom(self.slots - 1, self.weights_mb - adapter_mb)
