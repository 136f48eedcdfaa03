"""One term of leading."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from .entry import Entry
from .errors import LeadershipLost
from .member import Member
from .messages import AppendReply, AppendRequest, SnapshotRequest, TakeOver
from .progress import Progress

if TYPE_CHECKING:
    from .replica import Replica

MAX_BATCH_BYTES = 256 * 1024


class Leadership:
    """Replication, commit and lease of a leader, from its election to its end.

    Attributes
    ----------
    term : int
        The term led.
    start_index : int
        The entry that marks the term; nothing is decided before it is applied.
    waiters : dict of int to Future
        Outcomes that proposals wait for, by index.
    handing_over : bool
        Whether a successor was asked to take over; it may be elected inside our lease, so
        nothing is decided any more, for good: that message can still take effect later.
    """

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self.term = replica.term
        self.start_index = replica.log.last_index + 1
        self.progress = Progress()
        self.waiters: dict[int, asyncio.Future[Any]] = {}
        self.handing_over = False
        self._peers: dict[str, tuple[Member, asyncio.Task[None], asyncio.Event]] = {}

    def begin(self) -> None:
        """Mark the term in the log and start to replicate."""
        self.append(Entry(self.start_index, self.term))

    def end(self) -> None:
        """Stop replicating; whoever waits is told that the outcome is unknown."""
        for _, task, _ in self._peers.values():
            task.cancel()
        self._peers.clear()
        for fut in self.waiters.values():
            if not fut.done():
                fut.set_exception(LeadershipLost("another leader may commit it"))
                fut.exception()
        self.waiters.clear()

    def lease_until_ms(self) -> int:
        """When a majority may elect another leader at the earliest."""
        replica = self._replica
        self.progress.answered(replica.replica_id, replica.clock.now_ms())
        return self.progress.quorum_answered_ms(replica.members) + replica.timing.lease_ms

    async def append_and_wait(self, entry: Entry) -> Any:
        """Append `entry` and return what the state machine made of it."""
        fut: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self.waiters[entry.index] = fut
        self.append(entry)
        return await fut

    def append(self, entry: Entry) -> None:
        """Append `entry`, sync it here and send it to all others."""
        replica = self._replica
        replica.log.append(entry)

        def synced(fut: asyncio.Future[None]) -> None:
            if fut.cancelled() or fut.exception() is not None:
                return
            self.progress.matched(replica.replica_id, entry.index)
            self.advance_commit()

        replica.journal.write([entry]).add_done_callback(synced)
        self._match_peers_to_members()
        for _, _, wake in self._peers.values():
            wake.set()

    def advance_commit(self) -> None:
        """Commit what a majority has synced."""
        replica = self._replica
        if replica.leadership is not self:
            return
        index = self.progress.quorum_match(replica.members)
        # An entry of an earlier term on a majority may still be replaced by a later leader; it
        # counts as committed only below one of our own term (Raft paper, section 5.4.2).
        if index > replica.commit_index and replica.log.term_at(index) == self.term:
            replica.commit_to(index)

    async def ask_successor(self) -> None:
        """Ask the most advanced follower to take over."""
        replica = self._replica
        self.handing_over = True
        others = [m for m in replica.members if m.voter and m.replica_id != replica.replica_id]
        if not others:
            return
        target = max(others, key=lambda member: self.progress.match(member.replica_id))
        await self._wait_for_match(target.replica_id)
        msg = TakeOver(target.replica_id, replica.replica_id, self.term)
        try:
            await replica.transport.call(target, msg, replica.timing.call_ms)
        except ConnectionError:
            return

    async def _wait_for_match(self, replica_id: str) -> None:
        replica = self._replica
        for _ in range(10):
            if self.progress.match(replica_id) >= replica.log.last_index:
                return
            await replica.clock.sleep_ms(replica.timing.call_ms / 10)

    # Replication

    def _match_peers_to_members(self) -> None:
        own_id = self._replica.replica_id
        wanted = {m.replica_id: m for m in self._replica.members if m.replica_id != own_id}
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
                await replica.clock.sleep_ms(replica.timing.heartbeat_ms)
                continue
            if reply.term > self.term:
                replica.learn_term(reply.term)
                return
            if reply.ok:
                next_index = reply.match_index + 1
                self.progress.matched(member.replica_id, reply.match_index)
                self.advance_commit()
            else:
                next_index = max(1, min(next_index - 1, reply.match_index + 1))
            if next_index > replica.log.last_index:
                await self._wait_for_entries(wake)

    async def _send(self, member: Member, next_index: int) -> AppendReply | None:
        """Send what is next; None when there is no answer of this term or a later one."""
        replica = self._replica
        sent_ms = replica.clock.now_ms()
        msg = self._next_message(member, next_index)
        try:
            reply = await replica.transport.call(member, msg, replica.timing.call_ms)
        except ConnectionError:
            return None
        if not isinstance(reply, AppendReply) or reply.term < self.term:
            return None
        if reply.term == self.term:
            self.progress.answered(member.replica_id, sent_ms)
        return reply

    def _next_message(self, member: Member, next_index: int) -> AppendRequest | SnapshotRequest:
        replica = self._replica
        own_id = replica.replica_id
        prev_term = replica.log.term_at(next_index - 1)
        if prev_term is None:
            return SnapshotRequest(member.replica_id, own_id, self.term, replica.log.snapshot)
        entries = replica.log.after(next_index - 1, MAX_BATCH_BYTES)
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
