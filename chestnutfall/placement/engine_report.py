"""An engine's report of its contents."""

from __future__ import annotations

from dataclasses import dataclass

from .adapter_name import AdapterName


@dataclass(frozen=True, slots=True)
class EngineReport:
    """Models and adapters that an engine reports.

    Attributes
    ----------
    models : dict of str to int
        Version of each base model held.
    adapters : dict of AdapterName to int
        Version of each adapter held.
    coming : dict of AdapterName to int
        Version of each adapter that is being loaded.
    orders_taken : int
        Number of orders that the engine accepted since its start.
    started_ms : int
        Unix time of that start; 0 if the engine reports none.
    """

    models: dict[str, int]
    adapters: dict[AdapterName, int]
    coming: dict[AdapterName, int]
    orders_taken: int
    started_ms: int = 0
