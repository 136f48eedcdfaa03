"""Replication by the leader during one term."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from typing import TYPE_CHECKING, Any

from .entry import Entry
from .errors import LeadershipLost
from .member import Member
from .messages import AppendReply, AppendRequest, SnapshotRequest, TakeOver, WrongReplica
from .progress import Progress

if TYPE_CHECKING:
    from .replica import Replica

MAX_BATCH_BYTES = 256 * 1024
"""Approximate limit of the entries in one `AppendRequest`; a single entry may exceed it."""


class Leadership:
    """Replication, commit and lease of a leader, from its election until it steps down.

    Attributes
    ----------
    term : int
        Term of this leadership.
    start_index : int
        Index of the no-op entry that opens the term; before it is applied, the leader accepts no
        proposals and serves no reads.
    progress : Progress
        What this leader knows about each replica.
    waiters : dict of int to Future
        Outcomes of the proposals in progress, by log index.
    transferring : bool
        Whether a successor was asked to take over. The successor may be elected within this
        leader's lease, so this leader stops accepting proposals and serving reads. That is final,
        since the request can still take effect later.
    """

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self.term = replica.term
        self.start_index = replica.log.last_index + 1
        self.progress = Progress(replica.lost)
        self.waiters: dict[int, asyncio.Future[Any]] = {}
        self.transferring = False
        self._since_ms = replica.clock.now_ms()
        self._peers: dict[str, tuple[Member, asyncio.Task[None], asyncio.Event]] = {}

    def begin(self) -> None:
        """Append the no-op entry that opens the term and start replication."""
        self.append(Entry(self.start_index, self.term))

    def end(self) -> None:
        """Stop replication; proposals in progress fail with `LeadershipLost`."""
        for _, task, _ in self._peers.values():
            task.cancel()
        self._peers.clear()
        for fut in self.waiters.values():
            if not fut.done():
                fut.set_exception(LeadershipLost("another leader may commit it"))
                fut.exception()
        self.waiters.clear()

    def lease_until_ms(self) -> int:
        """Return when the lease expires; no other leader is elected before, except by transfer."""
        replica = self._replica
        self.progress.record_answer(replica.replica_id, replica.clock.now_ms())
        return self.progress.quorum_answered_ms(replica.quorum()) + replica.timing.lease_ms

    async def append_and_wait(self, entry: Entry) -> Any:
        """Append `entry`, wait until it is applied and return the state machine's outcome."""
        fut: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self.waiters[entry.index] = fut
        self.append(entry)
        return await fut

    def append(self, entry: Entry) -> None:
        """Append `entry`, queue it for the local disk and wake the replication to all others."""
        replica = self._replica
        replica.log.append(entry)

        def synced(fut: asyncio.Future[None]) -> None:
            if fut.cancelled() or fut.exception() is not None:
                return
            self.progress.record_match(replica.replica_id, entry.index)
            self.advance_commit()

        replica.journal.write([entry]).add_done_callback(synced)
        self._reconcile_peers()
        for _, _, wake in self._peers.values():
            wake.set()

    def advance_commit(self) -> None:
        """Commit and apply the entries that a quorum of the voters has synced."""
        replica = self._replica
        if replica.leadership is not self:
            return
        quorum, before = replica.quorum(), replica.quorum_before()
        written_off = () if quorum.is_sufficient and before is None else self._written_off()
        index = self.progress.commit_index(quorum, written_off)
        # Until a change of the membership is committed, the voters before it may elect a leader
        # that doesn't know of it. One of those who do has to hold it, whatever is lost.
        if before is not None and not before.is_sufficient:
            index = min(index, self.progress.commit_index(before, written_off))
        # An entry of an earlier term may still be replaced by a later leader even if a majority
        # holds it. It is committed only through an entry of the current term after it (Raft
        # paper, section 5.4.2).
        if index > replica.commit_index and replica.log.term_at(index) == self.term:
            replica.commit_to(index)

    def _written_off(self) -> Collection[str]:
        """Return the voters that have been silent for too long to wait for their copies.

        A small group waits for copies that can't all be lost. A host that was removed for good
        would otherwise stop it for ever, and one that is down for as long as it is down.
        """
        replica = self._replica
        least_ms = replica.clock.now_ms() - replica.timing.write_off_ms
        if self._since_ms > least_ms:
            return set()
        others = {one.replica_id for one in self._peers_to_commit() if one.voter}
        return {
            one
            for one in others - {replica.replica_id}
            if self.progress.answered_ms(one) < least_ms
        }

    def _peers_to_commit(self) -> list[Member]:
        """Return the members, and those before a change that is not committed yet."""
        members = [*self._replica.members]
        if self._replica.quorum_before() is not None:
            members = [*self._replica.log.previous_members, *members]
        return members

    async def transfer_to_successor(self) -> None:
        """Ask the voter with the longest matching log to campaign at once.

        First waits up to `call_timeout_ms` for that voter's log to catch up. Returns without an
        error if the voter can't be reached.
        """
        replica = self._replica
        self.transferring = True
        others = [m for m in replica.members if m.voter and m.replica_id != replica.replica_id]
        if not others:
            return
        target = max(others, key=lambda member: self.progress.match_index(member.replica_id))
        await self._wait_for_match(target.replica_id)
        msg = TakeOver(target.replica_id, replica.replica_id, self.term)
        try:
            await replica.transport.call(target, msg, replica.timing.call_timeout_ms)
        except ConnectionError:
            return

    async def _wait_for_match(self, replica_id: str) -> None:
        replica = self._replica
        for _ in range(10):
            if self.progress.match_index(replica_id) >= replica.log.last_index:
                return
            await replica.clock.sleep_ms(replica.timing.call_timeout_ms / 10)

    # Replication

    def _reconcile_peers(self) -> None:
        own_id = self._replica.replica_id
        # A member that is removed may be needed to commit its removal.
        members = self._peers_to_commit()
        wanted = {one.replica_id: one for one in members if one.replica_id != own_id}
        for replica_id, (member, task, _) in list(self._peers.items()):
            known = wanted.get(replica_id)
            if known is None or known.address != member.address:
                task.cancel()
                del self._peers[replica_id]
        for replica_id, member in wanted.items():
            if replica_id not in self._peers:
                wake = asyncio.Event()
                task = self._replica.spawn(self._replicate_to(member, wake))
                self._peers[replica_id] = (member, task, wake)

    async def _replicate_to(self, member: Member, wake: asyncio.Event) -> None:
        replica = self._replica
        next_index = replica.log.last_index + 1
        while replica.leadership is self:
            wake.clear()
            reply = await self._send(member, next_index)
            if reply is None:
                # What is left may be all that is needed, once this voter is lost or written off.
                self.advance_commit()
                await replica.clock.sleep_ms(replica.timing.heartbeat_ms)
                continue
            if reply.term > self.term:
                replica.adopt_and_store_term(reply.term)
                return
            if reply.ok:
                next_index = reply.match_index + 1
                self.progress.record_match(member.replica_id, reply.match_index)
                self.advance_commit()
            else:
                next_index = max(1, min(next_index - 1, reply.match_index + 1))
            if next_index > replica.log.last_index:
                await self._wait_for_entries(wake)

    async def _send(self, member: Member, next_index: int) -> AppendReply | None:
        """Send the next message; return None without a reply of this term or a later one."""
        replica = self._replica
        sent_ms = replica.clock.now_ms()
        msg = self._next_message(member, next_index)
        try:
            reply = await replica.transport.call(member, msg, replica.timing.call_timeout_ms)
        except ConnectionError:
            return None
        if isinstance(reply, WrongReplica):
            replica.note_lost(member, reply.replica_id)
        if not isinstance(reply, AppendReply) or reply.term < self.term:
            return None
        if reply.term == self.term:
            self.progress.record_answer(member.replica_id, sent_ms)
        return reply

    def _next_message(self, member: Member, next_index: int) -> AppendRequest | SnapshotRequest:
        replica = self._replica
        own_id = replica.replica_id
        prev_term = replica.log.term_at(next_index - 1)
        if prev_term is None:
            return SnapshotRequest(member.replica_id, own_id, self.term, replica.log.snapshot)
        entries = replica.log.entries_after(next_index - 1, MAX_BATCH_BYTES)
        return AppendRequest(
            member.replica_id,
            own_id,
            self.term,
            next_index - 1,
            prev_term,
            entries,
            replica.commit_index,
        )

    async def _wait_for_entries(self, wake: asyncio.Event) -> None:
        replica = self._replica
        try:
            await replica.clock.within_ms(replica.timing.heartbeat_ms, wake.wait())
        except TimeoutError:
            return
