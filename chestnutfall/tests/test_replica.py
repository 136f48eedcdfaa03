"""Leadership, membership and repair of the replicated log, one fault at a time."""

from __future__ import annotations

import asyncio
import errno
import unittest
from dataclasses import replace

from ..consensus import LeadershipLost, Member, NotLeader, Replica
from ..consensus.messages import AppendRequest, VoteRequest, WrongReplica
from .fakes import FakeCluster, Recorder


class ReplicaTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = FakeCluster(7)
        await self.cluster.bootstrap()
        self.leader = await self.cluster.leader()

    async def asyncTearDown(self) -> None:
        await self.cluster.stop()

    def _applied(self, name: str) -> list[str]:
        machine = self.cluster.replicas[name].machine
        assert isinstance(machine, Recorder)
        return machine.applied

    def _others(self, replica: Replica) -> list[str]:
        return [name for name in self.cluster.names if name != replica.replica_id]

    async def test_isolated_leader_stops_deciding_before_a_successor_can(self) -> None:
        # Two operators get different answers from two controllers. The leader is cut off in
        # silence and still believes to lead; its lease must end before the others elect.
        self.cluster.isolate(self.leader.replica_id)
        successor = None
        for _ in range(400):
            await self.cluster.clock.advance(5)
            deciding = self.cluster.deciding()
            self.assertLessEqual(len(deciding), 1)
            if deciding and deciding[0] != self.leader.replica_id:
                successor = deciding[0]
                break
        self.assertIsNotNone(successor)
        with self.assertRaises(NotLeader):
            await self.leader.propose(b"late")

    async def test_leader_that_was_frozen_does_not_decide_when_it_wakes(self) -> None:
        # The old leader wakes after a long pause, with everything as it was when it fell asleep.
        self.cluster.clocks[self.leader.replica_id].freeze()
        await self.cluster.clock.advance(5000)
        self.cluster.clocks[self.leader.replica_id].thaw()
        self.assertFalse(self.leader.can_decide())

    async def test_one_way_cut_does_not_depose_a_leader_again_and_again(self) -> None:
        # A follower hears nobody but is heard by all. Without the pre-vote it would raise the
        # term with every timeout and callers would see one election after another.
        deaf = self._others(self.leader)[0]
        for name in self._others(self.cluster.replicas[deaf]):
            self.cluster.network.cuts.add((name, deaf))
        term = self.leader.term
        await self.cluster.clock.advance(20_000)
        self.assertEqual(self.leader.term, term)
        self.assertTrue(self.leader.can_decide())

    async def test_graceful_stop_moves_leadership_at_once(self) -> None:
        task = asyncio.ensure_future(self.leader.hand_over())
        waited_ms = 0
        while not [n for n in self.cluster.deciding() if n != self.leader.replica_id]:
            await self.cluster.clock.advance(10)
            waited_ms += 10
            self.assertLess(waited_ms, 600)
        await task

    async def test_old_term_message_is_answered_but_changes_nothing(self) -> None:
        follower = self.cluster.replicas[self._others(self.leader)[0]]
        before = (follower.term, follower.log.last_index)
        old = AppendRequest(follower.replica_id, "x", 0, 0, 0, (), 10**6)
        reply = await follower.handle(old)
        self.assertFalse(reply.ok)
        self.assertEqual((follower.term, follower.log.last_index), before)

    async def test_failing_sync_stops_the_replica_and_acknowledges_nothing(self) -> None:
        # The disk reports an error once and "success" after it, without the data. The replica
        # must not try again: what it acknowledged has to be there after a restart.
        for name in self.cluster.names:
            self.cluster.folders[name].fail_with = errno.EIO
        self.assertFalse(await self.cluster.propose(self.leader, "lost"))
        self.assertTrue(self.leader.failed.done())

    async def test_three_of_three_restart_after_hundreds_of_changes(self) -> None:
        for number in range(300):
            task = asyncio.ensure_future(self.leader.propose(b"%d" % number))
            if number % 10 == 9:
                await self.cluster.clock.advance(60)
                self.assertTrue(task.done())
        for name in list(self.cluster.names):
            await self.cluster.crash(name)
        await self.cluster.restore_all()
        leader = await self.cluster.leader()
        self.assertTrue(await self.cluster.propose(leader, "after"))
        applied = self._applied(leader.replica_id)
        self.assertEqual(applied, [str(number) for number in range(300)] + ["after"])

    async def test_entry_of_a_deposed_leader_is_reported_as_unknown(self) -> None:
        self.cluster.isolate(self.leader.replica_id)
        task = asyncio.ensure_future(self.leader.propose(b"alone"))
        await self.cluster.clock.advance(5000)
        with self.assertRaises(LeadershipLost):
            await task

    # Membership and repair

    async def _replace_disk(self, lost: str) -> str:
        await self.cluster.crash(lost)
        fresh = f"{lost}-2"
        self.cluster.add_blank(fresh)
        leader = await self.cluster.leader()
        await self._change(leader, (*leader.members, Member(fresh, fresh, voter=False)))
        return fresh

    async def _change(self, leader: Replica, members: tuple[Member, ...]) -> None:
        task = asyncio.ensure_future(leader.change_members(members))
        await self.cluster.clock.advance(1000)
        await task

    async def test_second_host_lost_right_after_a_repair_loses_nothing(self) -> None:
        # One host loses its disk and is replaced; right after the repair another one dies. Every
        # acknowledged change must still be on the two that are left, and changes go on.
        for number in range(30):
            self.assertTrue(await self.cluster.propose(self.leader, str(number)))
        lost, second = self._others(self.leader)
        fresh = await self._replace_disk(lost)
        leader = await self.cluster.leader()
        await self._change(
            leader,
            tuple(replace(m, voter=True) if m.replica_id == fresh else m for m in leader.members),
        )
        await self._change(leader, tuple(m for m in leader.members if m.replica_id != lost))
        await self.cluster.crash(second)
        leader = await self.cluster.leader()
        self.assertTrue(await self.cluster.propose(leader, "after"))
        for name in (fresh, leader.replica_id):
            await self.cluster.clock.advance(500)
            self.assertEqual(self._applied(name), [str(n) for n in range(30)] + ["after"])

    async def test_learner_that_lags_is_not_promoted(self) -> None:
        fresh = await self._replace_disk(self._others(self.leader)[0])
        leader = await self.cluster.leader()
        self.cluster.isolate(fresh)
        self.assertTrue(await self.cluster.propose(leader, "more"))
        voters = tuple(replace(member, voter=True) for member in leader.members)
        with self.assertRaisesRegex(ValueError, "caught up"):
            await leader.change_members(voters)

    async def test_two_changes_at_once_are_refused(self) -> None:
        members = (*self.leader.members, Member("d", "d", False), Member("e", "e", False))
        with self.assertRaisesRegex(ValueError, "exactly one"):
            await self.leader.change_members(members)
        self.cluster.isolate(self.leader.replica_id)
        pending = asyncio.ensure_future(self.leader.change_members(members[:-1]))
        await self.cluster.clock.settle()
        with self.assertRaisesRegex(ValueError, "not committed"):
            await self.leader.change_members(members[:-2])
        pending.cancel()

    async def test_host_with_a_new_disk_does_not_vote_by_its_old_identity(self) -> None:
        # A host lost its disk and the votes on it; answering a vote request meant for the lost
        # identity could elect two leaders in one term.
        lost = self._others(self.leader)[0]
        await self.cluster.crash(lost)
        self.cluster.add_blank(f"{lost}-2")
        blank = self.cluster.replicas[f"{lost}-2"]
        await self.cluster.clock.advance(2000)
        request = VoteRequest(lost, "x", 99, 10**6, 99, False, True)
        self.assertEqual(await blank.handle(request), WrongReplica(f"{lost}-2"))
        self.assertEqual(blank.term, 0)
