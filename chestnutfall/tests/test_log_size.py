"""The size of the log in memory and on disk, where its entries are large.

Hundreds of changes of a large configuration filled a controller's disk and most of its memory
before the next snapshot, which counted entries and not their bytes. A full disk refuses all writes.
"""

from __future__ import annotations

import unittest

from ..consensus import Tolerance
from ..coordination.controller_runner import MIB, _snapshot_every_bytes
from ..settings.host_limits import HostLimits
from .fakes.controller_office import ControllerOffice

MANY_ENTRIES = 10_000
LOG_BYTES = 200_000
DOCUMENT_BYTES = 20_000
CHANGES = 60
SLACK_BYTES = 3 * DOCUMENT_BYTES
"""A snapshot holds one document, and the entry that passes a limit is counted behind it."""


class LogSizeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        places = dict.fromkeys("abc", "dc1")
        self.office = ControllerOffice(
            1, places, Tolerance(1), snapshot_every=(MANY_ENTRIES, LOG_BYTES)
        )
        await self.office.first_start()

    async def asyncTearDown(self) -> None:
        await self.office.stop()

    # Guards against a disk, and a process's memory, that large documents fill.
    async def test_large_entries_fill_neither_disk_nor_memory(self) -> None:
        most_on_disk = most_in_memory = 0
        for _ in range(CHANGES):
            self.assertTrue(await self.office.acknowledge(size_bytes=DOCUMENT_BYTES))
            for host in self.office.hosts.values():
                most_on_disk = max(most_on_disk, sum(map(len, host.folder.files.values())))
                assert host.process is not None
                log = host.process.replica.log
                held = range(log.base_index + 1, log.last_index + 1)
                most_in_memory = max(most_in_memory, sum(map(log.size_at, held)))
        self.assertGreater(CHANGES * DOCUMENT_BYTES, 4 * LOG_BYTES)
        self.assertLess(most_on_disk, LOG_BYTES + SLACK_BYTES)
        self.assertLess(most_in_memory, LOG_BYTES * 3 // 2 + SLACK_BYTES)

    async def test_a_controller_that_starts_again_has_the_newest_document(self) -> None:
        for _ in range(CHANGES // 2):
            self.assertTrue(await self.office.acknowledge(size_bytes=DOCUMENT_BYTES))
        await self.office.kill("a", "b", "c")
        for name in "abc":
            await self.office.start(name)
        leader = await self.office.leader()
        self.assertEqual(leader.state.document.version, self.office.acknowledged)

    async def test_one_that_was_down_meanwhile_gets_the_snapshot(self) -> None:
        leader = (await self.office.leader()).replica.replica_id
        late = next(name for name in "abc" if not leader.endswith(name))
        await self.office.kill(late)
        for _ in range(CHANGES // 2):
            self.assertTrue(await self.office.acknowledge(size_bytes=DOCUMENT_BYTES))
        await self.office.start(late)
        await self.office.pass_ms(3_000)
        process = self.office.hosts[late].process
        assert process is not None
        self.assertEqual(process.state.document.version, self.office.acknowledged)

    def test_the_limit_follows_disk_and_memory_of_the_host(self) -> None:
        self.assertEqual(_snapshot_every_bytes(HostLimits(320, 4_096, 128)), 16 * MIB)
        self.assertEqual(_snapshot_every_bytes(HostLimits(128, 4_096, 1_024)), 8 * MIB)
        self.assertEqual(_snapshot_every_bytes(HostLimits(320, 4_096, 0)), 20 * MIB)


if __name__ == "__main__":
    unittest.main()
