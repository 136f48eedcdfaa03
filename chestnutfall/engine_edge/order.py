"""An order to an engine, from the gateway that owns it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class OrderKind(Enum):
    """The closed set of orders to an engine."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class Order:
    """Load or unload an adapter; a repeated order has no further effect.

    Attributes
    ----------
    epoch : int
        Fencing token; an engine that checks it refuses an epoch lower than it has seen.
    adapter : str
        Adapter name with version and content digest.
    """

    kind: OrderKind
    epoch: int
    adapter: str
