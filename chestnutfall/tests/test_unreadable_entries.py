"""Entries of the replicated log that no replica can read."""

from __future__ import annotations

import unittest

import msgspec

from ..control import control_state
from ..control.commands import COMMAND_CODEC, PutDocument
from ..control.control_state import ControlState
from .fakes import FakeCluster

DOCUMENT = PutDocument(3, b"document")
ENTRIES = (
    msgspec.msgpack.encode(("NameVersion", {"model": "m", "adapter": None, "version": 2})),
    msgspec.msgpack.encode(("NameVersion", {"model": 5, "adapter": "", "version": 2})),
    b"no message",
)


class UnreadableEntriesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = FakeCluster(7, machine=ControlState)
        await self.cluster.bootstrap()

    async def asyncTearDown(self) -> None:
        await self.cluster.stop()

    def _versions(self) -> list[int]:
        machines = [one.machine for one in self.cluster.replicas.values()]
        return [one.document.version for one in machines if isinstance(one, ControlState)]

    # Guards against a group that has no leader from then on, and an acknowledged configuration that
    # can't be read, also once all disks are read again.
    async def test_a_group_goes_on_behind_them_and_starts_with_them(self) -> None:
        leader = await self.cluster.leader()
        with self.assertLogs(control_state.log, "ERROR"):
            for data in ENTRIES:
                self.assertTrue(await self.cluster.propose_bytes(leader, data))
            encoded = COMMAND_CODEC.encode(DOCUMENT)
            self.assertTrue(await self.cluster.propose_bytes(leader, encoded))
            for name in list(self.cluster.names):
                await self.cluster.crash(name)
            await self.cluster.restore_all()
            await self.cluster.leader()
            await self.cluster.clock.advance(500)
        self.assertEqual(self._versions(), [DOCUMENT.version] * len(self.cluster.names))
