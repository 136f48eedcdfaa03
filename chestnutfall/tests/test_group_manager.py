"""The group of controllers grows to what the tolerated losses need, and replaces the lost.

An acknowledged change is lost when more hosts fail than the group has spare replicas. So nothing
is acknowledged before the group is whole, and a voter that is gone gives its vote to a newcomer
that has caught up, also while another one is down.
"""

from __future__ import annotations

import asyncio
import unittest

from ..consensus import Member, Replica
from ..control.control_state import ControlState
from ..coordination.group_manager import REPLACE_AFTER_MS, GroupManager
from ..coordination.relay_messages import JoinGroup
from .fakes import FakeCluster


class GroupKeeperTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = FakeCluster(3, ("a", "b", "c"), ControlState)
        await self.cluster.bootstrap()
        self.joining: set[str] = set()
        self.keeping: dict[str, asyncio.Task[None]] = {}
        self.keepers: dict[str, GroupManager] = {}
        self._keep(await self.cluster.leader())

    async def asyncTearDown(self) -> None:
        await self.cluster.stop()

    def _keep(self, replica: Replica) -> None:
        name = replica.replica_id
        state = replica.machine
        assert isinstance(state, ControlState)
        self.keepers[name] = GroupManager(replica, state, self.cluster.clock, 2)
        self.keeping[name] = asyncio.ensure_future(self.keepers[name].run())

    def _add(self, *names: str) -> None:
        for name in names:
            self.cluster.add_blank(name)
            self.joining.add(name)

    async def _pass_ms(self, ms: int) -> None:
        for _ in range(ms // 100):
            leader = await self.cluster.leader()
            if leader.replica_id not in self.keepers:
                self._keep(leader)
            for name in self.joining:
                self.keepers[leader.replica_id].register_joiner(JoinGroup(name, name))
            await self.cluster.clock.advance(100)

    async def _members(self) -> dict[str, bool]:
        leader = await self.cluster.leader()
        return {member.replica_id: member.voter for member in leader.members}

    async def _is_complete(self) -> bool:
        state = (await self.cluster.leader()).machine
        assert isinstance(state, ControlState)
        return state.group_complete

    async def test_nothing_is_complete_before_all_voters_are_there(self) -> None:
        self._add("d")
        await self._pass_ms(2_000)
        self.assertEqual(await self._members(), dict.fromkeys("abcd", True))
        self.assertFalse(await self._is_complete())
        self._add("e")
        await self._pass_ms(2_000)
        self.assertEqual(await self._members(), dict.fromkeys("abcde", True))
        self.assertTrue(await self._is_complete())

    async def test_a_newcomer_replaces_a_lost_voter_while_another_is_down(self) -> None:
        self._add("d", "e")
        await self._pass_ms(2_000)
        leader = (await self.cluster.leader()).replica_id
        gone, down = [name for name in "abcde" if name != leader][:2]
        self.joining -= {gone, down}
        await self.cluster.crash(gone)
        await self.cluster.crash(down)
        self._add("f")
        await self._pass_ms(REPLACE_AFTER_MS + 3_000)
        members = await self._members()
        self.assertTrue(members["f"])
        self.assertEqual(sum(members.values()), 5)
        self.assertEqual(len({gone, down} - set(members)), 1)

    async def test_spare_controllers_stay_learners(self) -> None:
        self._add("d", "e", "f")
        await self._pass_ms(4_000)
        members = await self._members()
        self.assertEqual((len(members), sum(members.values())), (6, 5))
        self.assertIsInstance((await self.cluster.leader()).members[0], Member)
