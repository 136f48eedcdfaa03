"""Elections, leader lease, membership changes and repair of the replicated log."""

from __future__ import annotations

import asyncio
import errno
import unittest
from dataclasses import replace
from typing import Any

from ..consensus import Entry, LeadershipLost, Member, NotLeader, Replica
from ..consensus.messages import AppendRequest, VoteRequest, WrongReplica
from ..consensus.storage import HardState
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
        # The leader loses contact to all others but gets no error. Its lease must expire before
        # the others can elect a successor; else two controllers give different answers.
        self.cluster.isolate(self.leader.replica_id)
        successor = None
        for _ in range(400):
            await self.cluster.clock.advance(5)
            active = self.cluster.active_leaders()
            self.assertLessEqual(len(active), 1)
            if active and active[0] != self.leader.replica_id:
                successor = active[0]
                break
        self.assertIsNotNone(successor)
        with self.assertRaises(NotLeader):
            await self.leader.propose(b"late")

    async def test_leader_that_was_frozen_does_not_decide_when_it_wakes(self) -> None:
        # The leader's process resumes after a long pause with its state unchanged.
        self.cluster.clocks[self.leader.replica_id].freeze()
        await self.cluster.clock.advance(5000)
        self.cluster.clocks[self.leader.replica_id].thaw()
        self.assertFalse(self.leader.is_active_leader())

    async def test_follower_that_misses_the_leader_does_not_depose_it(self) -> None:
        # One follower receives nothing from the leader but reaches the other follower, which is
        # still in contact with the leader. If the other follower granted its vote, a
        # second leader would be active within the first one's lease.
        for name in self._others(self.leader):
            with self.subTest(cut_off=name):
                self.cluster.network.cuts = {(self.leader.replica_id, name)}
                term = self.leader.term
                for _ in range(400):
                    await self.cluster.clock.advance(25)
                    self.assertLessEqual(len(self.cluster.active_leaders()), 1)
                self.assertEqual(self.leader.term, term)
                self.assertTrue(self.leader.is_active_leader())

    async def test_replica_that_was_cut_off_comes_back_without_an_election(self) -> None:
        # Without the pre-vote an isolated replica raises its term with every election timeout,
        # and deposes a healthy leader when the partition heals.
        alone = self._others(self.leader)[0]
        self.cluster.isolate(alone)
        await self.cluster.clock.advance(20_000)
        self.cluster.network.cuts.clear()
        term = self.leader.term
        await self.cluster.clock.advance(3000)
        self.assertEqual(self.leader.term, term)
        self.assertEqual(self.cluster.replicas[alone].term, term)

    async def test_restarted_follower_grants_no_vote_at_first(self) -> None:
        # After a restart a follower doesn't know that it just had contact with the leader. If it
        # voted now, it could help elect a second leader within the first one's lease.
        voter, candidate = self._others(self.leader)
        await self.cluster.crash(voter)
        self.cluster.start(voter)
        self.cluster.isolate(voter)
        request = VoteRequest(voter, candidate, 99, 10**6, 99, False, False)
        for wait_ms, granted in ((1, False), (500, False), (200, True)):
            await self.cluster.clock.advance(wait_ms)
            asked = asyncio.ensure_future(self.cluster.replicas[voter].handle(request))
            await self.cluster.clock.advance(10)
            self.assertEqual((await asked).granted, granted)

    async def _ask(self, name: str, msg: object) -> Any:
        asked = asyncio.ensure_future(self.cluster.replicas[name].handle(msg))
        for _ in range(40):
            await self.cluster.clock.advance(1)
            if asked.done():
                return asked.result()
        raise AssertionError("no answer")

    async def test_vote_is_remembered_by_a_voter_that_crashes_right_after_it(self) -> None:
        # A voter that replies before its vote is synced and then crashes would vote a second
        # time in the same term, and two candidates could win.
        voter, candidate = self._others(self.leader)
        self.cluster.isolate(voter)
        await self.cluster.clock.advance(700)
        request = VoteRequest(voter, candidate, 99, 10**6, 98, False, False)
        self.assertTrue((await self._ask(voter, request)).granted)
        await self.cluster.crash(voter)
        self.cluster.start(voter)
        await self.cluster.clock.advance(700)
        second = replace(request, sender="somebody else")
        self.assertFalse((await self._ask(voter, second)).granted)

    async def test_acknowledged_entry_survives_a_crash_right_after_it(self) -> None:
        # A follower acknowledges an entry and loses power. The leader counted it towards the
        # majority, so the entry has to be on disk.
        follower = self._others(self.leader)[0]
        replica = self.cluster.replicas[follower]
        self.cluster.isolate(follower)
        last, term = replica.log.last_index, replica.log.last_term
        entry = Entry(last + 1, 99, b"accepted")
        request = AppendRequest(follower, "x", 99, last, term, (entry,), 0)
        self.assertTrue((await self._ask(follower, request)).ok)
        await self.cluster.crash(follower)
        self.cluster.start(follower)
        self.assertEqual(self.cluster.replicas[follower].log.last_index, last + 1)

    async def test_candidate_that_lacks_entries_gets_no_vote(self) -> None:
        # Its election would discard entries that a majority has acknowledged.
        self.assertTrue(await self.cluster.propose(self.leader, "accepted"))
        voter, candidate = self._others(self.leader)
        await self.cluster.clock.advance(500)
        last, term = self.leader.log.last_index, self.leader.log.last_term
        for last_index, last_term in ((last - 1, term), (last + 5, term - 1)):
            request = VoteRequest(voter, candidate, 99, last_index, last_term, False, True)
            self.assertFalse((await self._ask(voter, request)).granted)

    async def test_majority_of_an_earlier_terms_entry_is_not_committed_yet(self) -> None:
        # Such an entry can still be replaced by a later leader (Raft paper, figure 8); if it
        # counted as committed, an acknowledged change could disappear.
        self.cluster.isolate(self.leader.replica_id)
        pending = asyncio.ensure_future(self.leader.propose(b"earlier"))
        await self.cluster.clock.advance(20)
        index = self.leader.log.last_index
        leadership = self.leader.leadership
        assert leadership is not None
        leadership.term += 1
        for name in self.cluster.names:
            leadership.progress.record_match(name, index)
        leadership.advance_commit()
        self.assertLess(self.leader.commit_index, index)
        pending.cancel()

    async def test_graceful_stop_moves_leadership_at_once(self) -> None:
        task = asyncio.ensure_future(self.leader.transfer_leadership())
        waited_ms = 0
        while not [n for n in self.cluster.active_leaders() if n != self.leader.replica_id]:
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
        # After a failed sync a disk may report success without having stored the data. The
        # replica must not retry, else an acknowledged entry could be missing after a restart.
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
        new_id = f"{lost}-2"
        self.cluster.add_blank(new_id)
        leader = await self.cluster.leader()
        await self._change(leader, (*leader.members, Member(new_id, new_id, voter=False)))
        return new_id

    async def _change(self, leader: Replica, members: tuple[Member, ...]) -> None:
        task = asyncio.ensure_future(leader.change_members(members))
        await self.cluster.clock.advance(1000)
        await task

    async def test_second_host_lost_right_after_a_repair_loses_nothing(self) -> None:
        # One host loses its disk and is replaced; right after the repair another host fails.
        # The two that are left must hold every acknowledged change and accept new ones.
        for number in range(30):
            self.assertTrue(await self.cluster.propose(self.leader, str(number)))
        lost, second = self._others(self.leader)
        new_id = await self._replace_disk(lost)
        leader = await self.cluster.leader()
        await self._change(
            leader,
            tuple(replace(m, voter=True) if m.replica_id == new_id else m for m in leader.members),
        )
        await self._change(leader, tuple(m for m in leader.members if m.replica_id != lost))
        await self.cluster.crash(second)
        leader = await self.cluster.leader()
        self.assertTrue(await self.cluster.propose(leader, "after"))
        for name in (new_id, leader.replica_id):
            await self.cluster.clock.advance(500)
            self.assertEqual(self._applied(name), [str(n) for n in range(30)] + ["after"])

    async def test_learner_that_lags_is_not_promoted(self) -> None:
        new_id = await self._replace_disk(self._others(self.leader)[0])
        leader = await self.cluster.leader()
        self.cluster.isolate(new_id)
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
        # A host that lost its disk has no record of its votes. If it answered a vote request for
        # its old identity, two leaders could be elected in one term.
        lost = self._others(self.leader)[0]
        await self.cluster.crash(lost)
        self.cluster.add_blank(f"{lost}-2")
        blank = self.cluster.replicas[f"{lost}-2"]
        await self.cluster.clock.advance(2000)
        request = VoteRequest(lost, "x", 99, 10**6, 99, False, True)
        self.assertEqual(await blank.handle(request), WrongReplica(f"{lost}-2"))
        self.assertEqual(blank.term, 0)

    async def test_cancelled_call_does_not_cancel_other_tasks(self) -> None:
        # A call is cancelled at its deadline while its record is being synced. Other tasks, such
        # as a campaign, wait for the same sync and must not be cancelled with it.
        follower = self.cluster.replicas[self._others(self.leader)[0]]
        record = HardState(follower.term, follower.voted_for)
        first = asyncio.ensure_future(_await(follower.journal.write([record])))
        second = asyncio.ensure_future(_await(follower.journal.write()))
        await self.cluster.clock.settle()
        first.cancel()
        await self.cluster.clock.advance(50)
        self.assertTrue(first.cancelled())
        self.assertFalse(second.cancelled())
        await second


async def _await(fut: asyncio.Future[None]) -> None:
    await fut


class ElectionTimeTest(unittest.IsolatedAsyncioTestCase):
    async def _without_leader_ms(self, seed: int) -> int:
        cluster = FakeCluster(seed, ("a", "b", "c", "d", "e"))
        await cluster.bootstrap()
        lost = (await cluster.leader()).replica_id
        await cluster.clock.advance(500)
        cluster.isolate(lost)
        passed_ms = 0
        while not [name for name in cluster.active_leaders() if name != lost]:
            await cluster.clock.advance(10)
            passed_ms += 10
        await cluster.stop()
        return passed_ms

    async def test_a_refused_candidate_asks_again_before_a_whole_timeout(self) -> None:
        # The first candidate asks while another voter, which received the last heartbeat a
        # little later, still refuses. If it retried only after a whole election timeout, the
        # group would have no leader for two timeouts.
        waits_ms = [await self._without_leader_ms(seed) for seed in range(12)]
        self.assertLess(max(waits_ms), 1_400)

    async def test_start_time_of_a_process_counts_as_time_without_a_leader(self) -> None:
        # A restarted replica grants no vote for one election timeout, in case it had contact
        # with a leader before. The time its process took to load its libraries counts too;
        # otherwise the first election after a power loss of all hosts is delayed by it.
        cluster = FakeCluster(3)
        await cluster.bootstrap()
        await cluster.leader()
        for name in cluster.names:
            await cluster.crash(name)
        await cluster.clock.advance(2_000)
        started_ms = cluster.clock.now_ms() - 400
        for name in cluster.names:
            cluster.start(name, started_ms)
        voter, candidate = cluster.replicas["a"], cluster.replicas["b"]
        await cluster.clock.advance(250)
        req = VoteRequest("a", "b", 99, candidate.log.last_index, 99, True, False)
        asked = asyncio.ensure_future(voter.handle(req))
        await cluster.clock.advance(10)
        self.assertTrue((await asked).granted)
        await cluster.stop()
