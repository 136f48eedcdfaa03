"""Write-ahead log and snapshot in a data folder."""

from __future__ import annotations

import re

import msgspec

from ..wire import Codec
from .entry import Entry
from .folder import Folder
from .frame import CorruptFile, frame, read_frame, read_frames
from .member import Member
from .snapshot import Snapshot
from .storage import HardState, Record, Storage, Stored, Truncate

SNAPSHOT_NAME = "snapshot"
_WAL_NAME = re.compile(r"wal-(\d+)")
_CODEC = Codec(HardState, Entry, Truncate, Snapshot)


class FileStorage(Storage):
    """Stores one replica in `folder`.

    `snapshot` holds the newest snapshot, `wal-N` all records since. A new snapshot is written
    first, then a new `wal-N+1` with what follows it, then the old file goes; after a crash in
    between, the old file still holds every record behind the new snapshot.
    """

    def __init__(self, folder: Folder) -> None:
        self._folder = folder
        self._number = 0

    @property
    def is_empty(self) -> bool:
        """Whether nothing was ever stored here."""
        return not any(_WAL_NAME.fullmatch(n) or n == SNAPSHOT_NAME for n in self._folder.names())

    async def bootstrap(self, members: tuple[Member, ...]) -> None:
        """Store the first membership of a new cluster."""
        if not self.is_empty:
            raise FileExistsError("the data folder already holds a replica")
        await self.save(Stored(snapshot=Snapshot(members=members)))

    def load(self) -> Stored:
        snapshot = self._load_snapshot()
        numbers = sorted(int(m[1]) for n in self._folder.names() if (m := _WAL_NAME.fullmatch(n)))
        if not numbers:
            return Stored(snapshot=snapshot)
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

    def _replay(self, snapshot: Snapshot) -> Stored:
        name = f"wal-{self._number}"
        data = self._folder.read(name)
        hard_state = HardState()
        entries: list[Entry] = []
        whole = 0
        for end, payload in read_frames(data, name):
            whole = end
            for record in _records(payload):
                match record:
                    case HardState():
                        hard_state = record
                    case Truncate(index):
                        entries = [entry for entry in entries if entry.index < index]
                    case Entry():
                        entries.append(record)
        if whole < len(data):
            self._folder.cut(name, whole)
        kept = tuple(entry for entry in entries if entry.index > snapshot.index)
        return Stored(hard_state, snapshot, kept)

    async def append(self, records: tuple[Record, ...]) -> None:
        await self._folder.append(f"wal-{self._number}", frame(_payload(records)))

    async def save(self, stored: Stored) -> None:
        await self._folder.replace(SNAPSHOT_NAME, frame(_CODEC.encode(stored.snapshot)))
        old = f"wal-{self._number}"
        self._number += 1
        records: tuple[Record, ...] = (stored.hard_state, *stored.entries)
        await self._folder.replace(f"wal-{self._number}", frame(_payload(records)))
        self._folder.remove(old)


def _payload(records: tuple[Record, ...]) -> bytes:
    return msgspec.msgpack.encode([_CODEC.encode(record) for record in records])


def _records(payload: bytes) -> list[Record]:
    return [_CODEC.decode(data) for data in msgspec.msgpack.decode(payload, type=list[bytes])]
