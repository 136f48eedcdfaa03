"""One way to place a request."""

from __future__ import annotations

from dataclasses import dataclass

from .adapter_name import AdapterName
from .engine import Engine


@dataclass(frozen=True, slots=True)
class PlaceOption:
    """An engine for a request.

    Attributes
    ----------
    cost_ms : float
        Expected time to the first event, and what the choice costs others.
    load_ms : float or None
        Expected time of the load it needs; None when the adapter is there or on its way.
    victim : AdapterName or None
        Adapter that makes room.
    """

    engine: Engine
    cost_ms: float
    load_ms: float | None = None
    victim: AdapterName | None = None
