"""What a replica must find again after a restart."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from .entry import Entry
from .snapshot import Snapshot


@dataclass(frozen=True, slots=True)
class HardState:
    """The newest term seen and the vote given in it."""

    term: int = 0
    voted_for: str = ""


@dataclass(frozen=True, slots=True)
class Truncate:
    """Forget the entry at `index` and all behind it."""

    index: int


@dataclass(frozen=True, slots=True)
class Stored:
    """All that a replica stored."""

    hard_state: HardState = field(default_factory=HardState)
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: tuple[Entry, ...] = ()


Record = HardState | Entry | Truncate


class Storage(ABC):
    """Durable records of one replica."""

    @abstractmethod
    def load(self) -> Stored:
        """Read everything back."""

    @abstractmethod
    async def append(self, records: tuple[Record, ...]) -> None:
        """Store `records`; they are synced when this returns.

        Raises
        ------
        OSError
            When the disk failed; what is stored is then unknown.
        """

    @abstractmethod
    async def save(self, stored: Stored) -> None:
        """Replace everything by `stored`, at once or not at all."""
