"""One replica of the replicated log.

The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote, a leader lease, leadership
transfer and membership changes of one replica at a time (Ongaro's thesis, chapters 4, 6 and 9).
"""

from __future__ import annotations

import asyncio
import logging
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
from .quorum import Quorum
from .raft_log import RaftLog
from .role import Role
from .snapshot import Snapshot
from .state_machine import StateMachine
from .storage import HardState, Storage, StoredState
from .timing import Timing
from .tolerance import NO_TOLERANCE, Tolerance
from .transport import Transport

log = logging.getLogger(__name__)
MAX_WAITING_PROPOSALS = 4096
"""Proposals in progress at a leader; further ones fail with `Busy`."""
SNAPSHOT_EVERY_ENTRIES = 4000
KEEP_ENTRIES = 1000
"""Entries before a snapshot that stay in memory for followers that are slightly behind."""
SNAPSHOT_EVERY_BYTES = 64 * 1024 * 1024
MAX_KEPT_QUORUMS = 4
"""Memberships whose quorum is kept; two are in use at a time."""


class Replica:
    """One replica: its Raft state, its role, and the state machine that it drives.

    Messages from other replicas are passed to `handle`; the application calls `propose`.

    Parameters
    ----------
    replica_id : str
        Identity stored on this replica's disk.
    storage : Storage
        Where term, vote, log and snapshot are stored.
    machine : StateMachine
        Receives the committed commands in order.
    transport : Transport
        Calls to the other replicas.
    rng : random.Random
        Source of randomised election timeouts.
    timing : Timing
        Timeouts, the same on all replicas of a group.
    snapshot_every_entries : int
        Entries applied between two snapshots.
    keep_entries : int
        Entries before a snapshot that stay in memory.
    tolerance : Tolerance
        What may be lost at the same time.
    snapshot_every_bytes : int
        Bytes of entries applied between two snapshots at most, and half as many kept before one.

    Attributes
    ----------
    term, voted_for : int, str
        Current term, and the replica id voted for in it; empty if none.
    role : Role
        Current role.
    leader_id : str
        Leader of the term as far as known; else empty.
    leadership : Leadership or None
        State of the leader role; None on any other replica.
    commit_index, applied_index : int
        Last entry known to be committed, and last entry applied to the state machine.
    lost : set of str
        Replicas whose disks are proven to be lost.
    successors : dict of str to str
        Identity that answers now at the address of a replica that is lost, by address.
    failed : Future
        Done, with the exception as its result, once a task of the replica failed; the process
        must then stop.
    """

    def __init__(
        self,
        replica_id: str,
        storage: Storage,
        machine: StateMachine,
        transport: Transport,
        clock: Clock,
        rng: random.Random,
        timing: Timing,
        snapshot_every_entries: int = SNAPSHOT_EVERY_ENTRIES,
        keep_entries: int = KEEP_ENTRIES,
        tolerance: Tolerance = NO_TOLERANCE,
        snapshot_every_bytes: int = SNAPSHOT_EVERY_BYTES,
    ) -> None:
        self.replica_id = replica_id
        self.machine = machine
        self.clock = clock
        self.timing = timing
        self.transport = transport
        self._storage = storage
        self._snapshot_every_entries = snapshot_every_entries
        self._keep_entries = keep_entries
        self._snapshot_every_bytes = snapshot_every_bytes
        self._applied_bytes = 0
        self._tolerance = tolerance
        self._quorums: list[tuple[tuple[Member, ...], Quorum]] = []
        self.lost: set[str] = set()
        self.successors: dict[str, str] = {}
        self.role = Role.FOLLOWER
        self.leader_id = ""
        self.leadership: Leadership | None = None
        self.election = Election(self, rng)
        self._follower = Follower(self)
        self._tasks: set[asyncio.Task[None]] = set()

    # Start and stop

    def start(self, process_start_ms: int | None = None) -> None:
        """Load the stored state and start the journal and election tasks.

        Parameters
        ----------
        process_start_ms : int, optional
            When the process started, on the replica's clock; only if no other replica ran in it
            before. Shortens the time in which the replica grants no vote.
        """
        stored_state = self._storage.load()
        self.term = stored_state.hard_state.term
        self.voted_for = stored_state.hard_state.voted_for
        self.log = RaftLog(stored_state.snapshot, stored_state.entries)
        self.machine.restore(stored_state.snapshot.data)
        self.commit_index = self.applied_index = stored_state.snapshot.index
        self.journal = Journal(self._storage)
        self.failed: asyncio.Future[BaseException] = asyncio.get_running_loop().create_future()
        self.election.begin(process_start_ms)
        self.spawn(self.journal.run())
        self.spawn(self.election.run())

    async def stop(self) -> None:
        """Cancel all tasks at once, without a leadership transfer."""
        self.step_down()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def spawn(self, work: Any) -> asyncio.Task[None]:
        """Run the coroutine `work` as a task that `stop` cancels; its failure sets `failed`."""
        task: asyncio.Task[None] = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_ended)
        return task

    def _task_ended(self, task: asyncio.Task[None]) -> None:
        # A replica whose election or journal task failed would still answer but never campaign
        # again. Setting `failed` makes its process stop, to be restarted.
        self._tasks.discard(task)
        if not task.cancelled() and (exc := task.exception()) is not None:
            if not self.failed.done():
                self.failed.set_result(exc)

    # Queries and proposals

    @property
    def members(self) -> tuple[Member, ...]:
        """The newest membership in the log, committed or not."""
        return self.log.members

    def quorum(self) -> Quorum:
        """Return the quorum of the newest membership."""
        return self._quorum_of(self.members)

    def quorum_before(self) -> Quorum | None:
        """Return the quorum of the membership before the newest one, until that is committed."""
        if self.log.members_index <= self.commit_index:
            return None
        return self._quorum_of(self.log.previous_members)

    def _quorum_of(self, members: tuple[Member, ...]) -> Quorum:
        for known, quorum in self._quorums:
            if known is members:
                return quorum
        quorum = Quorum(members, self._tolerance)
        self._quorums = [(members, quorum), *self._quorums[: MAX_KEPT_QUORUMS - 1]]
        return quorum

    def note_lost(self, member: Member, successor: str) -> None:
        """Record that another identity answers at a member's address, as its disk was lost.

        An identity lives and dies with its disk, and the host keeps its address: the lost replica
        can never answer again, and what it voted for or synced is gone.
        """
        if member.replica_id not in self.lost:
            log.warning("replica: %s lost its disk, now %s", member.replica_id, successor)
        self.lost.add(member.replica_id)
        self.successors[member.address] = successor

    def leader_address(self) -> str:
        """Return the address of the leader; empty if it is unknown or this replica itself."""
        for member in self.members:
            if member.replica_id == self.leader_id != self.replica_id:
                return member.address
        return ""

    def leader_contact_age_ms(self) -> int:
        """Return the time since the last message from a leader; 0 on the leader itself."""
        if self.leadership is not None:
            return 0
        return self.election.leader_contact_age_ms()

    def is_active_leader(self) -> bool:
        """Whether this replica may accept proposals and serve reads as the leader.

        It must hold a valid lease, so that no other replica can be active too, must have applied
        all entries committed by earlier leaders, and must not have started a transfer.
        """
        leadership = self.leadership
        return (
            leadership is not None
            and not leadership.transferring
            and self.applied_index >= leadership.start_index
            and self.clock.now_ms() < leadership.lease_until_ms()
        )

    async def propose(self, data: bytes) -> Any:
        """Replicate the command `data` and return the state machine's outcome once applied.

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
        """Commit a new membership that differs from the current one in exactly one replica.

        Raises
        ------
        ValueError
            When it differs in none or several, the previous change is not committed, a new voter
            has not caught up, or the leader would remove or demote itself.
        NotLeader, Busy, LeadershipLost
            As in `propose`.
        """
        leadership = self._leadership_for_proposal()
        self._check_membership_change(members)
        entry = Entry(self.log.last_index + 1, self.term, members=members)
        await leadership.append_and_wait(entry)

    def _leadership_for_proposal(self) -> Leadership:
        if self.leadership is None or not self.is_active_leader():
            raise NotLeader(self.leader_id)
        if len(self.leadership.waiters) >= MAX_WAITING_PROPOSALS:
            raise Busy(f"{len(self.leadership.waiters)} proposals are waiting")
        return self.leadership

    @property
    def progress(self) -> Progress:
        """Replication progress of each replica; empty unless this replica is the leader."""
        return self.leadership.progress if self.leadership is not None else Progress(self.lost)

    def _check_membership_change(self, members: tuple[Member, ...]) -> None:
        # With two uncommitted changes, two majorities might have no voter in common, and two
        # leaders could be elected in one term. With one change of one replica at a time, any
        # two majorities overlap.
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
        # A voter with an empty log counts towards the quorum but can't help to commit. If
        # another host failed right after such a repair, no entry could be committed.
        if self.progress.match_index(member.replica_id) < self.commit_index:
            raise ValueError(f"{member.replica_id} has not caught up; it stays a learner")

    async def transfer_leadership(self) -> None:
        """Transfer leadership to the voter with the longest matching log, and step down.

        Called before a graceful stop; does nothing on a replica that is not the leader.
        """
        if self.leadership is not None:
            await self.leadership.transfer_to_successor()
            self.step_down()

    # Messages from other replicas

    async def handle(self, msg: Any) -> Any:
        """Handle a message from another replica and return the reply."""
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
        """Enter a later term as a follower without a vote; the caller has to store it."""
        self.term = term
        self.voted_for = ""
        self.leader_id = ""
        self.step_down()

    def step_down(self) -> None:
        """Become a follower in the current term and end any leadership."""
        self.role = Role.FOLLOWER
        leadership, self.leadership = self.leadership, None
        if leadership is not None:
            leadership.end()

    def is_voter(self) -> bool:
        """Whether this replica is a voting member."""
        return any(m.replica_id == self.replica_id and m.voter for m in self.members)

    def become_candidate(self) -> int:
        """Enter the next term as a candidate, vote for itself and return the term.

        The caller has to store term and vote before asking for votes.
        """
        self.term += 1
        self.voted_for = self.replica_id
        self.leader_id = ""
        self.role = Role.CANDIDATE
        return self.term

    def become_leader(self) -> None:
        """Become the leader of the current term and start replication."""
        self.role = Role.LEADER
        self.leader_id = self.replica_id
        self.leadership = Leadership(self)
        self.leadership.begin()

    def adopt_and_store_term(self, term: int) -> None:
        """Adopt the later term of another replica's reply and queue it for the disk."""
        self.adopt_term(term)
        self.journal.write([HardState(self.term, self.voted_for)])

    # Commit and apply

    def commit_to(self, index: int) -> None:
        """Mark all entries up to `index` as committed and apply them.

        Takes a snapshot once enough entries, or bytes of them, were applied since the last one. A
        few hundred entries may be more than the host's disk holds.
        """
        self.commit_index = max(self.commit_index, min(index, self.log.last_index))
        while self.applied_index < self.commit_index:
            self.applied_index += 1
            entry = self.log.entry_at(self.applied_index)
            outcome = self.machine.apply(entry.index, entry.data) if entry.data else None
            self._complete_proposal(entry.index, outcome)
            self._applied_bytes += self.log.size_at(entry.index)
        applied = self.applied_index - self.log.snapshot.index
        if (
            applied >= self._snapshot_every_entries
            or self._applied_bytes >= self._snapshot_every_bytes
        ):
            self._take_snapshot()

    def _complete_proposal(self, index: int, outcome: Any) -> None:
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
        self.log.compact(snapshot, self._keep_entries, self._snapshot_every_bytes // 2)
        self._applied_bytes = 0
        self.journal.write([self.stored_state()])

    def stored_state(self) -> StoredState:
        """Return the whole state that has to be on disk."""
        hard_state = HardState(self.term, self.voted_for)
        return StoredState(hard_state, self.log.snapshot, self.log.entries_after_snapshot())
