"""An order of an engine's owner."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class OrderKind(Enum):
    """What an engine is told to do."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class Order:
    """Load or unload an adapter; the same order twice has the effect of one.

    Attributes
    ----------
    epoch : int
        Fencing number; an engine that checks refuses one lower than it has seen.
    adapter : str
        Name with version and content digest.
    """

    kind: OrderKind
    epoch: int
    adapter: str
