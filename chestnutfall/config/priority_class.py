"""Classes of urgency."""

from __future__ import annotations

from enum import Enum


class PriorityClass(Enum):
    """From what goes first to what may wait until the night."""

    URGENT = "urgent"
    NORMAL = "normal"
    OVERNIGHT = "overnight"

    @property
    def rank(self) -> int:
        """0 for the class that goes first."""
        return _RANKS[self]


_RANKS = {kind: rank for rank, kind in enumerate(PriorityClass)}
