"""Interface of a replica's durable storage, and the records it holds."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from .entry import Entry
from .snapshot import Snapshot


@dataclass(frozen=True, slots=True)
class HardState:
    """Current term, and the replica id voted for in it; empty if none."""

    term: int = 0
    voted_for: str = ""


@dataclass(frozen=True, slots=True)
class Truncate:
    """Deletion of the entry at `index` and all entries after it."""

    index: int


@dataclass(frozen=True, slots=True)
class StoredState:
    """The whole durable state: term and vote, snapshot, and the entries after it."""

    hard_state: HardState = field(default_factory=HardState)
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: tuple[Entry, ...] = ()


Record = HardState | Entry | Truncate


class Storage(ABC):
    """Durable state of one replica."""

    @abstractmethod
    def load(self) -> StoredState:
        """Return the stored state; an empty one if nothing was stored."""

    @abstractmethod
    async def append(self, records: tuple[Record, ...]) -> None:
        """Append `records`; they are synced when this returns.

        Raises
        ------
        OSError
            When a write or sync failed; which records are stored is then unknown.
        """

    @abstractmethod
    async def save(self, stored: StoredState) -> None:
        """Replace the whole state by `stored`, atomically."""
