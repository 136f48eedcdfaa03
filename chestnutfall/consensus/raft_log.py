"""The part of the log that is held in memory."""

from __future__ import annotations

from collections.abc import Iterable

from .entry import Entry
from .member import Member
from .snapshot import Snapshot

ENTRY_OVERHEAD_BYTES = 32
"""Allowance for the encoded fields of an entry other than its data."""


class RaftLog:
    """Snapshot, the entries after a base index, and the memberships in them.

    The base index is some entries before the snapshot's index, so that a follower that is
    slightly behind can be sent entries instead of the whole snapshot.

    Attributes
    ----------
    snapshot : Snapshot
        The newest snapshot.
    """

    def __init__(self, snapshot: Snapshot, entries: Iterable[Entry]) -> None:
        self.reset(snapshot)
        for entry in entries:
            if entry.index > snapshot.index:
                self.append(entry)

    def reset(self, snapshot: Snapshot) -> None:
        """Discard all entries; the log then starts after `snapshot`."""
        self.snapshot = snapshot
        self._base_index = snapshot.index
        self._base_term = snapshot.term
        self._entries: list[Entry] = []
        self._memberships: list[tuple[int, tuple[Member, ...]]] = []

    @property
    def base_index(self) -> int:
        """Index of the entry before the first one in memory."""
        return self._base_index

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the base if there is none."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the base if there is none."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def members(self) -> tuple[Member, ...]:
        """The newest membership, committed or not."""
        return self._memberships[-1][1] if self._memberships else self.snapshot.members

    @property
    def previous_members(self) -> tuple[Member, ...]:
        """The membership before the newest one; committed, as changes are made one by one."""
        return self._memberships[-2][1] if len(self._memberships) > 1 else self.snapshot.members

    @property
    def members_index(self) -> int:
        """Index of the entry, or of the snapshot, that holds the newest membership."""
        return self._memberships[-1][0] if self._memberships else self.snapshot.index

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at `index`; None when it is not in memory."""
        if index == self._base_index:
            return self._base_term
        offset = index - self._base_index - 1
        return self._entries[offset].term if 0 <= offset < len(self._entries) else None

    def entry_at(self, index: int) -> Entry:
        """Return the entry at `index`, which must be in memory."""
        return self._entries[index - self._base_index - 1]

    def append(self, entry: Entry) -> None:
        """Append `entry`.

        Raises
        ------
        ValueError
            When its index does not follow the last one.
        """
        if entry.index != self.last_index + 1:
            raise ValueError(f"entry {entry.index} does not follow {self.last_index}")
        self._entries.append(entry)
        if entry.members is not None:
            self._memberships.append((entry.index, entry.members))

    def truncate(self, index: int) -> None:
        """Delete the entry at `index` and all entries after it."""
        del self._entries[index - self._base_index - 1 :]
        while self._memberships and self._memberships[-1][0] >= index:
            self._memberships.pop()

    def entries_after(self, index: int, max_bytes: int) -> tuple[Entry, ...]:
        """Return entries after `index`, up to about `max_bytes`, but at least one if any."""
        chosen: list[Entry] = []
        size = 0
        for entry in self._entries[index - self._base_index :]:
            size += len(entry.data) + ENTRY_OVERHEAD_BYTES
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return tuple(chosen)

    def entries_after_snapshot(self) -> tuple[Entry, ...]:
        """Return all entries after the snapshot."""
        return tuple(self._entries[self.snapshot.index - self._base_index :])

    def members_at(self, index: int) -> tuple[Member, ...]:
        """Return the membership as of entry `index`, which is not before the snapshot."""
        found = self.snapshot.members
        for at, members in self._memberships:
            if at <= index:
                found = members
        return found

    def _index_before(self, index: int, size_bytes: int) -> int:
        """Return the index behind which the entries up to `index` have at most `size_bytes`."""
        while index > self._base_index and size_bytes >= 0:
            size_bytes -= self.size_at(index)
            if size_bytes >= 0:
                index -= 1
        return index

    def size_at(self, index: int) -> int:
        """Return the approximate size of the entry at `index`, in bytes."""
        return len(self.entry_at(index).data) + ENTRY_OVERHEAD_BYTES

    def compact(self, snapshot: Snapshot, keep: int, keep_bytes: int) -> None:
        """Install a newer `snapshot` and discard all entries before it but the last ones.

        Parameters
        ----------
        keep, keep_bytes : int
            Number of entries before the snapshot that stay, and their size in bytes, at most.
        """
        base_index = max(self._base_index, snapshot.index - keep)
        base_index = max(base_index, self._index_before(snapshot.index, keep_bytes))
        base_term = self.term_at(base_index)
        assert base_term is not None
        del self._entries[: base_index - self._base_index]
        self._base_index = base_index
        self._base_term = base_term
        self.snapshot = snapshot
        self._memberships = [item for item in self._memberships if item[0] > snapshot.index]
