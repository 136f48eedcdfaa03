"""Priority classes of requests."""

from __future__ import annotations

from enum import Enum


class PriorityClass(Enum):
    """The closed set of priority classes, the most urgent first."""

    URGENT = "urgent"
    NORMAL = "normal"
    OVERNIGHT = "overnight"

    @property
    def rank(self) -> int:
        """0 for the class that goes first."""
        return _RANKS[self]


_RANKS = {kind: rank for rank, kind in enumerate(PriorityClass)}
