"""Interface of the state machine that the replicated log drives."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any


class StateMachine(ABC):
    """Deterministic state: it depends only on the sequence of committed commands."""

    @abstractmethod
    def apply(self, index: int, data: bytes) -> Any:
        """Apply the command at log index `index` and return its outcome to the proposer."""

    @abstractmethod
    def dump(self) -> bytes:
        """Return the whole state, encoded for a snapshot."""

    @abstractmethod
    def restore(self, data: bytes) -> None:
        """Replace the whole state by one from `dump`; empty `data` is the initial state."""
