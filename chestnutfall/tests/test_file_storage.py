"""Recovery of a replica's storage after a crash or damage on disk.

A crash tears the batch that is being written; a disk corrupts bits of older data. No acknowledged
change may be lost, and a damaged file must not be read as if it were valid.
"""

from __future__ import annotations

import asyncio
import random
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from ..clock import ManualClock
from ..consensus import Entry, Member, Snapshot, StoredState
from ..consensus.disk_folder import DiskFolder, FolderInUse
from ..consensus.file_storage import FileStorage
from ..consensus.frame import CorruptFile
from ..consensus.storage import HardState, Truncate
from .fakes import FakeFolder


class FileStorageTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.folder = FakeFolder(self.clock, random.Random(1))

    async def _run(self, work: object) -> None:
        task = asyncio.ensure_future(work)  # type: ignore[arg-type]
        await self.clock.advance(100)
        await task

    async def _store(self, batches: int) -> FileStorage:
        storage = FileStorage(self.folder)
        await self._run(storage.bootstrap((Member("a", "a"),)))
        for number in range(1, batches + 1):
            await self._run(storage.append((Entry(number, 1, b"command %d" % number),)))
        return storage

    async def test_all_records_come_back(self) -> None:
        storage = await self._store(2)
        await self._run(storage.append((HardState(3, "b"), Truncate(2), Entry(2, 3, b"new"))))
        stored = FileStorage(self.folder).load()
        self.assertEqual(stored.hard_state, HardState(3, "b"))
        self.assertEqual([e.data for e in stored.entries], [b"command 1", b"new"])
        self.assertEqual(stored.snapshot.members, (Member("a", "a"),))

    async def test_torn_tail_is_cut_at_every_length(self) -> None:
        await self._store(3)
        name = "wal-1"
        whole = self.folder.files[name]
        storage = FileStorage(self.folder)
        storage.load()
        await self._run(storage.append((Entry(4, 1, b"command 4"),)))
        longer = self.folder.files[name]
        for size in range(len(whole), len(longer)):
            with self.subTest(size=size):
                self.folder.files[name] = longer[:size]
                self.assertEqual(len(FileStorage(self.folder).load().entries), 3)
                self.assertEqual(self.folder.files[name], whole)

    async def test_damage_in_the_middle_is_refused_at_every_byte(self) -> None:
        storage = await self._store(2)
        last_batch = len(self.folder.files["wal-1"])
        await self._run(storage.append((Entry(3, 1, b"command 3"),)))
        whole = self.folder.files["wal-1"]
        for at in range(last_batch):
            with self.subTest(at=at):
                damaged = bytearray(whole)
                damaged[at] ^= 0x40
                self.folder.files["wal-1"] = bytes(damaged)
                with self.assertRaisesRegex(CorruptFile, "wal-1"):
                    FileStorage(self.folder).load()

    async def test_damaged_snapshot_is_refused(self) -> None:
        storage = await self._store(1)
        snapshot = Snapshot(1, 1, (), b"state")
        await self._run(storage.save(StoredState(HardState(1), snapshot)))
        self.folder.files["snapshot"] = self.folder.files["snapshot"][:-1] + b"\0"
        with self.assertRaisesRegex(CorruptFile, "snapshot"):
            FileStorage(self.folder).load()

    async def test_crash_between_snapshot_and_new_log_loses_nothing(self) -> None:
        storage = await self._store(3)
        old_log = dict(self.folder.files)
        snapshot = Snapshot(2, 1, (), b"state")
        await self._run(storage.save(StoredState(HardState(1), snapshot, (Entry(3, 1, b"x"),))))
        self.folder.files = {**old_log, "snapshot": self.folder.files["snapshot"]}
        stored = FileStorage(self.folder).load()
        self.assertEqual(stored.snapshot, snapshot)
        self.assertEqual([entry.index for entry in stored.entries], [3])

    async def test_bootstrap_on_a_used_folder_is_refused(self) -> None:
        await self._store(1)
        with self.assertRaises(FileExistsError):
            await FileStorage(self.folder).bootstrap(())


class DiskFolderTest(unittest.IsolatedAsyncioTestCase):
    async def test_second_process_on_a_folder_is_refused(self) -> None:
        with TemporaryDirectory() as path:
            first = DiskFolder(Path(path))
            with self.assertRaises(FolderInUse):
                DiskFolder(Path(path))
            first.close()
            DiskFolder(Path(path)).close()

    async def test_files_come_back(self) -> None:
        with TemporaryDirectory() as path:
            folder = DiskFolder(Path(path))
            await folder.append("wal-1", b"abc")
            await folder.append("wal-1", b"def")
            await folder.replace("snapshot", b"one")
            await folder.replace("snapshot", b"two")
            folder.truncate("wal-1", 4)
            folder.close()
            again = DiskFolder(Path(path))
            self.assertEqual(sorted(again.names()), ["snapshot", "wal-1"])
            self.assertEqual(again.read("wal-1"), b"abcd")
            self.assertEqual(again.read("snapshot"), b"two")
            again.close()
