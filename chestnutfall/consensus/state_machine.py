"""What the replicated log drives."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any


class StateMachine(ABC):
    """State that is a function of the committed entries alone."""

    @abstractmethod
    def apply(self, index: int, data: bytes) -> Any:
        """Apply the command at `index` and return its outcome."""

    @abstractmethod
    def dump(self) -> bytes:
        """Return the whole state."""

    @abstractmethod
    def restore(self, data: bytes) -> None:
        """Replace the whole state; empty `data` is the initial state."""
