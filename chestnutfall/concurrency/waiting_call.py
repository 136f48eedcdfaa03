"""A call that waits at the leader for a plain upstream."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

from .turn_messages import AskTurn

Gateway = TypeVar("Gateway")
"""Identifies one gateway; hashable."""


@dataclass(frozen=True, slots=True, eq=False)
class WaitingCall(Generic[Gateway]):
    """A call that waits for its turn; compared by identity.

    Attributes
    ----------
    since_ms : int
        Clock time at which it was queued.
    in_time_by_ms : float
        Clock time until which its run must begin so that it meets its objective.
    start_by_ms : float
        Clock time until which its run must begin so that it is of any use.
    returned : bool
        Whether it was refused before and came back when it was told to.
    """

    asked: AskTurn
    gateway: Gateway
    since_ms: int
    in_time_by_ms: float
    start_by_ms: float
    returned: bool = False

    @property
    def group(self) -> tuple[int, str]:
        """Its rank and kind, which is the class that it belongs to."""
        return self.asked.rank, self.asked.kind
