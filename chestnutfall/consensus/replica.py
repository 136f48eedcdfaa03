"""One replica of the log.

The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote, a leader lease, leadership
transfer and membership changes of one replica at a time (Ongaro's thesis, chapters 4, 6 and 9).
"""

from __future__ import annotations

import asyncio
import random
from enum import Enum
from typing import Any

from ..clock import Clock
from .campaign import collect_votes
from .entry import Entry
from .errors import Busy, NotLeader
from .journal import Journal
from .leadership import Leadership
from .member import Member
from .messages import (
    AppendReply,
    AppendRequest,
    SnapshotRequest,
    TakeOver,
    VoteReply,
    VoteRequest,
    WrongReplica,
)
from .progress import Progress
from .raft_log import RaftLog
from .snapshot import Snapshot
from .state_machine import StateMachine
from .storage import HardState, Record, Storage, Stored, Truncate
from .timing import Timing
from .transport import Transport

MAX_WAITING = 4096
SNAPSHOT_EVERY = 4000
KEEP_ENTRIES = 1000


class Role(Enum):
    """What a replica is doing in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


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
        self._rng = rng
        self._snapshot_every = snapshot_every
        self._keep_entries = keep_entries
        self.role = Role.FOLLOWER
        self.leader_id = ""
        self.leadership: Leadership | None = None
        self._campaigning = False
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
        # A restarted follower has forgotten whether it heard from a leader just before.
        # Symptom: its vote elects a second leader inside the first one's lease. So it counts
        # its own start as such a moment and votes for nobody during one election timeout. A
        # process that has just begun heard nobody while it was loading its libraries, so that
        # this time counts: 0.2 s less without a leader after all hosts lost power.
        now_ms = self.clock.now_ms()
        self._heard_leader_ms = min(process_start_ms or now_ms, now_ms)
        self._restart_election_timer()
        self.spawn(self.journal.run())
        self.spawn(self._watch_leader())

    async def stop(self) -> None:
        """Stop all tasks at once; nothing is handed over."""
        self._step_down()
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
        return self.clock.now_ms() - self._heard_leader_ms

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
            self._step_down()

    # Messages from other replicas

    async def handle(self, msg: Any) -> Any:
        """Answer a message of another replica."""
        if msg.to != self.replica_id:
            return WrongReplica(self.replica_id)
        match msg:
            case VoteRequest():
                return await self._on_vote(msg)
            case AppendRequest():
                return await self._on_append(msg)
            case SnapshotRequest():
                return await self._on_snapshot(msg)
            case TakeOver():
                if msg.term == self.term and self._is_voter():
                    self.spawn(self._campaign(transfer=True))
                return VoteReply(self.term, True)
            case _:
                raise ValueError(f"unexpected message {type(msg).__name__}")

    async def _on_vote(self, req: VoteRequest) -> VoteReply:
        ours = (self.log.last_term, self.log.last_index)
        up_to_date = (req.last_term, req.last_index) >= ours
        # A replica that was cut off must not depose a leader the others still follow, and the
        # leader's lease relies on it: nobody is elected while a majority has heard from it.
        if self._follows_leader() and not req.transfer:
            return VoteReply(self.term, False)
        if req.pre:
            return VoteReply(self.term, up_to_date and req.term > self.term)
        if req.term > self.term:
            self._adopt_term(req.term)
        granted = req.term == self.term and up_to_date and self.voted_for in ("", req.sender)
        if granted:
            self.voted_for = req.sender
            self._restart_election_timer()
        await self.journal.write([HardState(self.term, self.voted_for)])
        still = self.term == req.term and self.voted_for == req.sender
        return VoteReply(self.term, granted and still)

    def _follows_leader(self) -> bool:
        if self.leadership is not None:
            return self.clock.now_ms() < self.leadership.lease_until_ms()
        return self.clock.now_ms() < self._heard_leader_ms + self.timing.election_min_ms

    async def _on_append(self, req: AppendRequest) -> AppendReply:
        if req.term < self.term:
            return AppendReply(self.term, False, 0)
        records = self._follow(req.sender, req.term)
        # Everything up to the base is committed and so equal on every replica.
        beyond_base = req.prev_index > self.log.base_index
        if beyond_base and self.log.term_at(req.prev_index) != req.prev_term:
            await self.journal.write(records)
            return AppendReply(self.term, False, self._agreed_before(req.prev_index))
        records.extend(self._merge(req.entries))
        await self.journal.write(records)
        matched = req.prev_index + len(req.entries)
        if self.term == req.term:
            self.commit_to(min(req.commit, matched))
        return AppendReply(self.term, True, matched)

    def _agreed_before(self, index: int) -> int:
        """Guess the last index that agrees: skip the whole term that does not."""
        if index > self.log.last_index:
            return self.log.last_index
        index -= 1
        term = self.log.term_at(index)
        while index > self.commit_index and self.log.term_at(index) == term:
            index -= 1
        return index

    def _merge(self, entries: tuple[Entry, ...]) -> list[Record]:
        records: list[Record] = []
        for entry in entries:
            if entry.index <= self.log.base_index:
                continue
            held = self.log.term_at(entry.index)
            if held == entry.term:
                continue
            if held is not None:
                if entry.index <= self.commit_index:
                    raise AssertionError(f"committed entry {entry.index} would be replaced")
                self.log.truncate(entry.index)
                records.append(Truncate(entry.index))
            self.log.append(entry)
            records.append(entry)
        return records

    async def _on_snapshot(self, req: SnapshotRequest) -> AppendReply:
        if req.term < self.term:
            return AppendReply(self.term, False, 0)
        records: list[Record | Stored] = list(self._follow(req.sender, req.term))
        snapshot = req.snapshot
        if snapshot.index > self.commit_index:
            self.log.reset(snapshot)
            self.machine.restore(snapshot.data)
            self.commit_index = self.applied_index = snapshot.index
            records.append(self._stored())
        await self.journal.write(records)
        return AppendReply(self.term, True, snapshot.index)

    # Roles

    def _follow(self, leader_id: str, term: int) -> list[Record]:
        records: list[Record] = []
        if term > self.term:
            self._adopt_term(term)
            records.append(HardState(self.term, self.voted_for))
        elif self.role is not Role.FOLLOWER:
            self._step_down()
        self.leader_id = leader_id
        self._heard_leader_ms = self.clock.now_ms()
        self._restart_election_timer()
        return records

    def _adopt_term(self, term: int) -> None:
        self.term = term
        self.voted_for = ""
        self.leader_id = ""
        self._step_down()

    def _step_down(self) -> None:
        self.role = Role.FOLLOWER
        leadership, self.leadership = self.leadership, None
        if leadership is not None:
            leadership.end()

    def _is_voter(self) -> bool:
        return any(m.replica_id == self.replica_id and m.voter for m in self.members)

    def _restart_election_timer(self) -> None:
        wait_ms = self._rng.randint(self.timing.election_min_ms, self.timing.election_max_ms)
        self._election_due_ms = self.clock.now_ms() + wait_ms

    def _ask_again_soon(self) -> None:
        """Ask for votes again before the next whole timeout.

        Voters refuse for one election timeout after they heard from the old leader, and some heard
        a heartbeat later than we did; others are just starting. Asking in advance deposes nobody,
        so it need not wait: a new leader comes after 0.4 s instead of up to a second.
        """
        least_ms = self.timing.election_min_ms // 4
        self._election_due_ms = self.clock.now_ms() + self._rng.randint(least_ms, 2 * least_ms)

    async def _watch_leader(self) -> None:
        while True:
            wait_ms = self._election_due_ms - self.clock.now_ms()
            if wait_ms > 0:
                await self.clock.sleep_ms(wait_ms)
                continue
            self._restart_election_timer()
            if self.leadership is not None:
                lost_ms = self.leadership.lease_until_ms() + self.timing.election_max_ms
                if self.clock.now_ms() > lost_ms:
                    self._step_down()
            elif self._is_voter():
                await self._campaign(transfer=False)

    async def _campaign(self, transfer: bool) -> None:
        if self._campaigning or self.role is Role.LEADER:
            return
        self._campaigning = True
        try:
            # Asking first without raising the term keeps a replica that can't win from deposing
            # a leader when its partition heals.
            if not transfer and not await collect_votes(self, self.term + 1, True, False):
                self._ask_again_soon()
                return
            self.term += 1
            self.voted_for = self.replica_id
            self.leader_id = ""
            self.role = Role.CANDIDATE
            term = self.term
            await self.journal.write([HardState(term, self.voted_for)])
            won = await collect_votes(self, term, False, transfer)
            if won and self.term == term and self.role is Role.CANDIDATE:
                self.role = Role.LEADER
                self.leader_id = self.replica_id
                self.leadership = Leadership(self)
                self.leadership.begin()
        finally:
            self._campaigning = False

    def learn_term(self, term: int) -> None:
        """Follow a later term that another replica answered with."""
        self._adopt_term(term)
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
        self.journal.write([self._stored()])

    def _stored(self) -> Stored:
        hard_state = HardState(self.term, self.voted_for)
        return Stored(hard_state, self.log.snapshot, self.log.unsnapshotted())
