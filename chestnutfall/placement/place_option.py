"""One way to place a request."""

from __future__ import annotations

from dataclasses import dataclass

from .adapter_name import AdapterName
from .engine import Engine


@dataclass(frozen=True, slots=True)
class PlaceOption:
    """An engine for a request, with the load and the eviction that it needs.

    Attributes
    ----------
    cost_ms : float
        Expected time to the first event, plus what the choice costs other requests.
    load_ms : float or None
        Expected time of the load; None when the adapter is held or being loaded.
    victims : tuple of AdapterName
        Adapters to evict before the load; empty when there is room for it.
    """

    engine: Engine
    cost_ms: float
    load_ms: float | None = None
    victims: tuple[AdapterName, ...] = ()
