"""What an engine says it holds."""

from __future__ import annotations

from dataclasses import dataclass

from .adapter_name import AdapterName


@dataclass(frozen=True, slots=True)
class EngineReport:
    """Contents of an engine.

    Attributes
    ----------
    models : dict of str to int
        Version of each base model held.
    adapters : dict of AdapterName to int
        Version of each adapter held.
    coming : dict of AdapterName to int
        Version of each adapter in transit to it.
    orders_taken : int
        Number of orders that it accepted since its start.
    started_ms : int
        Unix time of that start; 0 where it tells none.
    """

    models: dict[str, int]
    adapters: dict[AdapterName, int]
    coming: dict[AdapterName, int]
    orders_taken: int
    started_ms: int = 0
