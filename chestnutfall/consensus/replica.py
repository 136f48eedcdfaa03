"""One replica of the log.

The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote, a leader lease, leadership
transfer and membership changes of one replica at a time (Ongaro's thesis, chapters 4, 6 and 9).
"""

from __future__ import annotations

import asyncio
import random
from typing import Any

from ..clock import Clock
from .election import Election
from .entry import Entry
from .errors import Busy, NotLeader
from .follower import Follower
from .journal import Journal
from .leadership import Leadership
from .member import Member
from .messages import (
    AppendRequest,
    SnapshotRequest,
    TakeOver,
    VoteReply,
    VoteRequest,
    WrongReplica,
)
from .progress import Progress
from .raft_log import RaftLog
from .role import Role
from .snapshot import Snapshot
from .state_machine import StateMachine
from .storage import HardState, Storage, Stored
from .timing import Timing
from .transport import Transport

MAX_WAITING = 4096
SNAPSHOT_EVERY = 4000
KEEP_ENTRIES = 1000


class Replica:
    """Elections, replication and the state machine of one replica."""

    def __init__(
        self,
        replica_id: str,
        storage: Storage,
        machine: StateMachine,
        transport: Transport,
        clock: Clock,
        rng: random.Random,
        timing: Timing,
        snapshot_every: int = SNAPSHOT_EVERY,
        keep_entries: int = KEEP_ENTRIES,
    ) -> None:
        self.replica_id = replica_id
        self.machine = machine
        self.clock = clock
        self.timing = timing
        self.transport = transport
        self._storage = storage
        self._snapshot_every = snapshot_every
        self._keep_entries = keep_entries
        self.role = Role.FOLLOWER
        self.leader_id = ""
        self.leadership: Leadership | None = None
        self.election = Election(self, rng)
        self._follower = Follower(self)
        self._tasks: set[asyncio.Task[None]] = set()

    # Life

    def start(self, process_start_ms: int | None = None) -> None:
        """Read the stored state and begin to take part.

        Parameters
        ----------
        process_start_ms : int, optional
            When the process began, if no replica ran in it before this one.
        """
        stored = self._storage.load()
        self.term = stored.hard_state.term
        self.voted_for = stored.hard_state.voted_for
        self.log = RaftLog(stored.snapshot, stored.entries)
        self.machine.restore(stored.snapshot.data)
        self.commit_index = self.applied_index = stored.snapshot.index
        self.journal = Journal(self._storage)
        self.failed: asyncio.Future[BaseException] = asyncio.get_running_loop().create_future()
        self.election.begin(process_start_ms)
        self.spawn(self.journal.run())
        self.spawn(self.election.run())

    async def stop(self) -> None:
        """Stop all tasks at once; nothing is handed over."""
        self.step_down()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def spawn(self, work: Any) -> asyncio.Task[None]:
        """Run `work` as a task of this replica's life."""
        task: asyncio.Task[None] = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_ended)
        return task

    def _task_ended(self, task: asyncio.Task[None]) -> None:
        # A replica whose election or journal task died would answer as if it were well and never
        # campaign again. Its process stops instead and is restarted.
        self._tasks.discard(task)
        if not task.cancelled() and (exc := task.exception()) is not None:
            if not self.failed.done():
                self.failed.set_result(exc)

    # What others ask of this replica

    @property
    def members(self) -> tuple[Member, ...]:
        """The newest membership in the log."""
        return self.log.members

    def leader_address(self) -> str:
        """Where another replica leads, as far as this one knows; empty if it does not."""
        for member in self.members:
            if member.replica_id == self.leader_id != self.replica_id:
                return member.address
        return ""

    def leader_silent_ms(self) -> int:
        """How long nothing was heard from a leader; 0 for the leader itself."""
        if self.leadership is not None:
            return 0
        return self.election.silent_ms()

    def can_decide(self) -> bool:
        """Whether this is the only leader now and has applied all that earlier ones committed."""
        leadership = self.leadership
        return (
            leadership is not None
            and not leadership.handing_over
            and self.applied_index >= leadership.start_index
            and self.clock.now_ms() < leadership.lease_until_ms()
        )

    async def propose(self, data: bytes) -> Any:
        """Commit `data` and return what the state machine made of it.

        Raises
        ------
        NotLeader, Busy
            Nothing was proposed.
        LeadershipLost
            The command may or may not be committed later.
        """
        leadership = self._leadership_for_proposal()
        entry = Entry(self.log.last_index + 1, self.term, data)
        return await leadership.append_and_wait(entry)

    async def change_members(self, members: tuple[Member, ...]) -> None:
        """Commit a membership that differs from the present one in one replica.

        Raises
        ------
        ValueError
            When it differs in more, an earlier change is not committed, a learner to be
            promoted lags behind, or the leader would remove itself.
        """
        leadership = self._leadership_for_proposal()
        self._check_members(members)
        entry = Entry(self.log.last_index + 1, self.term, members=members)
        await leadership.append_and_wait(entry)

    def _leadership_for_proposal(self) -> Leadership:
        if self.leadership is None or not self.can_decide():
            raise NotLeader(self.leader_id)
        if len(self.leadership.waiters) >= MAX_WAITING:
            raise Busy(f"{len(self.leadership.waiters)} proposals are waiting")
        return self.leadership

    @property
    def progress(self) -> Progress:
        """What this replica as leader knows of the others; empty when it does not lead."""
        return self.leadership.progress if self.leadership is not None else Progress()

    def _check_members(self, members: tuple[Member, ...]) -> None:
        # Two changes under way may leave two majorities without a common voter. Symptom: two
        # leaders in one term. One committed change at a time keeps every two majorities joined.
        if self.log.members_index > self.commit_index:
            raise ValueError("the membership change before this one is not committed yet")
        changed = set(members) ^ set(self.members)
        if len({member.replica_id for member in changed}) != 1:
            raise ValueError("a membership change adds, removes or promotes exactly one replica")
        if not any(member.replica_id == self.replica_id and member.voter for member in members):
            raise ValueError("the leader can't remove itself; move leadership first")
        present = {member.replica_id: member for member in self.members}
        for member in members:
            before = present.get(member.replica_id)
            if member.voter and (before is None or not before.voter):
                self._check_caught_up(member)

    def _check_caught_up(self, member: Member) -> None:
        # A new voter with an empty log counts for the quorum but can't help to commit. Symptom:
        # one more lost host right after a repair stops every change.
        if self.progress.match(member.replica_id) < self.commit_index:
            raise ValueError(f"{member.replica_id} has not caught up; it stays a learner")

    async def hand_over(self) -> None:
        """Move leadership to the most advanced follower before a graceful stop."""
        if self.leadership is not None:
            await self.leadership.ask_successor()
            self.step_down()

    # Messages from other replicas

    async def handle(self, msg: Any) -> Any:
        """Answer a message of another replica."""
        if msg.to != self.replica_id:
            return WrongReplica(self.replica_id)
        match msg:
            case VoteRequest():
                return await self.election.on_vote(msg)
            case AppendRequest():
                return await self._follower.on_append(msg)
            case SnapshotRequest():
                return await self._follower.on_snapshot(msg)
            case TakeOver():
                if msg.term == self.term and self.is_voter():
                    self.spawn(self.election.campaign(transfer=True))
                return VoteReply(self.term, True)
            case _:
                raise ValueError(f"unexpected message {type(msg).__name__}")

    # Roles

    def adopt_term(self, term: int) -> None:
        """Enter a later term as a follower that has not voted in it."""
        self.term = term
        self.voted_for = ""
        self.leader_id = ""
        self.step_down()

    def step_down(self) -> None:
        """Stop to lead or to stand."""
        self.role = Role.FOLLOWER
        leadership, self.leadership = self.leadership, None
        if leadership is not None:
            leadership.end()

    def is_voter(self) -> bool:
        """Whether this replica's vote counts."""
        return any(m.replica_id == self.replica_id and m.voter for m in self.members)

    def stand_as_candidate(self) -> int:
        """Enter the next term and vote for this replica; the term."""
        self.term += 1
        self.voted_for = self.replica_id
        self.leader_id = ""
        self.role = Role.CANDIDATE
        return self.term

    def lead(self) -> None:
        """Begin to lead in the present term."""
        self.role = Role.LEADER
        self.leader_id = self.replica_id
        self.leadership = Leadership(self)
        self.leadership.begin()

    def learn_term(self, term: int) -> None:
        """Follow a later term that another replica answered with."""
        self.adopt_term(term)
        self.journal.write([HardState(self.term, self.voted_for)])

    # Commit and apply

    def commit_to(self, index: int) -> None:
        """Take every entry up to `index` as committed and apply it."""
        self.commit_index = max(self.commit_index, min(index, self.log.last_index))
        while self.applied_index < self.commit_index:
            self.applied_index += 1
            entry = self.log.entry_at(self.applied_index)
            outcome = self.machine.apply(entry.index, entry.data) if entry.data else None
            self._tell_waiter(entry.index, outcome)
        if self.applied_index - self.log.snapshot.index >= self._snapshot_every:
            self._take_snapshot()

    def _tell_waiter(self, index: int, outcome: Any) -> None:
        if self.leadership is None:
            return
        waiter = self.leadership.waiters.pop(index, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(outcome)

    def _take_snapshot(self) -> None:
        index = self.applied_index
        term = self.log.term_at(index)
        assert term is not None
        members = self.log.members_at(index)
        snapshot = Snapshot(index, term, members, self.machine.dump())
        self.log.compact(snapshot, self._keep_entries)
        self.journal.write([self.stored()])

    def stored(self) -> Stored:
        """Everything that the disk must hold."""
        hard_state = HardState(self.term, self.voted_for)
        return Stored(hard_state, self.log.snapshot, self.log.unsnapshotted())
