"""The group of controllers grows to the required size and replaces lost members.

An acknowledged change is lost if more hosts fail than the group has spare replicas. So nothing is
acknowledged before the group is complete, and a lost voter is replaced by a learner that has caught
up, even while another voter is down.
"""

from __future__ import annotations

import asyncio
import unittest

from ..consensus import Member, Replica, Tolerance
from ..control.control_state import ControlState
from ..coordination.group_manager import REPLACE_AFTER_MS, GroupManager
from ..coordination.relay_messages import JoinGroup
from ..settings.host_place import HostPlace
from .fakes import FakeCluster


class GroupManagerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = FakeCluster(3, ("a", "b", "c"), ControlState)
        await self.cluster.bootstrap()
        self.joining: set[str] = set()
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.managers: dict[str, GroupManager] = {}
        self._start_manager(await self.cluster.leader())

    async def asyncTearDown(self) -> None:
        await self.cluster.stop()

    def _start_manager(self, replica: Replica) -> None:
        name = replica.replica_id
        state = replica.machine
        assert isinstance(state, ControlState)
        self.managers[name] = GroupManager(
            replica, state, self.cluster.clock, Tolerance(2), HostPlace()
        )
        self.tasks[name] = asyncio.ensure_future(self.managers[name].run())

    def _add(self, *names: str) -> None:
        for name in names:
            self.cluster.add_blank(name)
            self.joining.add(name)

    async def _pass_ms(self, ms: int) -> None:
        for _ in range(ms // 100):
            leader = await self.cluster.leader()
            if leader.replica_id not in self.managers:
                self._start_manager(leader)
            for name in self.joining:
                self.managers[leader.replica_id].register_joiner(JoinGroup(name, name))
            await self.cluster.clock.advance(100)

    async def _members(self) -> dict[str, bool]:
        leader = await self.cluster.leader()
        return {member.replica_id: member.voter for member in leader.members}

    async def _is_complete(self) -> bool:
        state = (await self.cluster.leader()).machine
        assert isinstance(state, ControlState)
        return state.group_complete

    async def test_the_group_is_complete_only_with_all_voters(self) -> None:
        self._add("d")
        await self._pass_ms(2_000)
        self.assertEqual(await self._members(), dict.fromkeys("abcd", True))
        self.assertFalse(await self._is_complete())
        self._add("e")
        await self._pass_ms(2_000)
        self.assertEqual(await self._members(), dict.fromkeys("abcde", True))
        self.assertTrue(await self._is_complete())

    async def test_a_learner_replaces_a_lost_voter_while_another_is_down(self) -> None:
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
