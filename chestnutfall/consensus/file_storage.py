"""Storage of a replica as a write-ahead log and a snapshot in a data folder."""

from __future__ import annotations

import re

import msgspec

from ..wire import Codec
from .entry import Entry
from .folder import Folder
from .frame import CorruptFile, frame, read_frame, read_frames
from .member import Member
from .snapshot import Snapshot
from .storage import HardState, Record, Storage, StoredState, Truncate

SNAPSHOT_NAME = "snapshot"
_WAL_NAME = re.compile(r"wal-(\d+)")
_CODEC = Codec(HardState, Entry, Truncate, Snapshot)


class FileStorage(Storage):
    """Stores the state of one replica in `folder`.

    The file `snapshot` holds the newest snapshot, `wal-N` all records written since. `save`
    writes a new snapshot, then `wal-N+1` with the entries after it, then deletes `wal-N`. After
    a crash in between, `wal-N` still holds every entry after the new snapshot.
    """

    def __init__(self, folder: Folder) -> None:
        self._folder = folder
        self._number = 0

    @property
    def is_empty(self) -> bool:
        """Whether the folder holds neither a snapshot nor a log."""
        return not any(_WAL_NAME.fullmatch(n) or n == SNAPSHOT_NAME for n in self._folder.names())

    async def bootstrap(self, members: tuple[Member, ...]) -> None:
        """Store the first membership; empty for a replica that a group is still to add.

        Raises
        ------
        FileExistsError
            When the folder already holds a replica.
        """
        if not self.is_empty:
            raise FileExistsError("the data folder already holds a replica")
        await self.save(StoredState(snapshot=Snapshot(members=members)))

    def load(self) -> StoredState:
        snapshot = self._load_snapshot()
        numbers = sorted(int(m[1]) for n in self._folder.names() if (m := _WAL_NAME.fullmatch(n)))
        if not numbers:
            return StoredState(snapshot=snapshot)
        self._number = numbers[-1]
        for number in numbers[:-1]:
            self._folder.remove(f"wal-{number}")
        return self._replay(snapshot)

    def _load_snapshot(self) -> Snapshot:
        if SNAPSHOT_NAME not in self._folder.names():
            return Snapshot()
        payload = read_frame(self._folder.read(SNAPSHOT_NAME), 0)
        if payload is None:
            raise CorruptFile("snapshot: the checksum does not match; restore as a new member")
        snapshot = _CODEC.decode(payload)
        assert isinstance(snapshot, Snapshot)
        return snapshot

    def _replay(self, snapshot: Snapshot) -> StoredState:
        name = f"wal-{self._number}"
        data = self._folder.read(name)
        hard_state = HardState()
        entries: list[Entry] = []
        valid_bytes = 0
        for end, payload in read_frames(data, name):
            valid_bytes = end
            for record in _decode_batch(payload):
                match record:
                    case HardState():
                        hard_state = record
                    case Truncate(index):
                        entries = [entry for entry in entries if entry.index < index]
                    case Entry():
                        entries.append(record)
        if valid_bytes < len(data):
            self._folder.truncate(name, valid_bytes)
        kept = tuple(entry for entry in entries if entry.index > snapshot.index)
        return StoredState(hard_state, snapshot, kept)

    async def append(self, records: tuple[Record, ...]) -> None:
        await self._folder.append(f"wal-{self._number}", frame(_encode_batch(records)))

    async def save(self, stored: StoredState) -> None:
        await self._folder.replace(SNAPSHOT_NAME, frame(_CODEC.encode(stored.snapshot)))
        old = f"wal-{self._number}"
        self._number += 1
        records: tuple[Record, ...] = (stored.hard_state, *stored.entries)
        await self._folder.replace(f"wal-{self._number}", frame(_encode_batch(records)))
        self._folder.remove(old)


def _encode_batch(records: tuple[Record, ...]) -> bytes:
    return msgspec.msgpack.encode([_CODEC.encode(record) for record in records])


def _decode_batch(payload: bytes) -> list[Record]:
    return [_CODEC.decode(data) for data in msgspec.msgpack.decode(payload, type=list[bytes])]
