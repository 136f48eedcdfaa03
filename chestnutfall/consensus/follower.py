"""Handling of a leader's requests by a follower."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .entry import Entry
from .messages import AppendReply, AppendRequest, SnapshotRequest
from .role import Role
from .storage import HardState, Record, StoredState, Truncate

if TYPE_CHECKING:
    from .replica import Replica


class Follower:
    """Appends entries received from a leader, or installs its snapshot."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica

    async def on_append(self, req: AppendRequest) -> AppendReply:
        """Append the leader's entries, or reply with an index where the logs may still match.

        Everything that the reply acknowledges is synced to disk first.
        """
        replica = self._replica
        if req.term < replica.term:
            return AppendReply(replica.term, False, 0)
        records = self._follow(req.sender, req.term)
        # Entries up to the base index are committed and therefore the same on every replica.
        beyond_base = req.prev_index > replica.log.base_index
        if beyond_base and replica.log.term_at(req.prev_index) != req.prev_term:
            await replica.journal.write(records)
            return AppendReply(replica.term, False, self._estimate_match_index(req.prev_index))
        records.extend(self._merge(req.entries))
        await replica.journal.write(records)
        matched = req.prev_index + len(req.entries)
        if replica.term == req.term:
            replica.commit_to(min(req.commit, matched))
        return AppendReply(replica.term, True, matched)

    def _estimate_match_index(self, index: int) -> int:
        """Return the last index before `index` where the logs may match.

        Skips all uncommitted entries of the conflicting term at once, so the leader needs one
        round trip per term instead of one per entry.
        """
        replica = self._replica
        if index > replica.log.last_index:
            return replica.log.last_index
        index -= 1
        term = replica.log.term_at(index)
        while index > replica.commit_index and replica.log.term_at(index) == term:
            index -= 1
        return index

    def _merge(self, entries: tuple[Entry, ...]) -> list[Record]:
        replica = self._replica
        records: list[Record] = []
        for entry in entries:
            if entry.index <= replica.log.base_index:
                continue
            held_term = replica.log.term_at(entry.index)
            if held_term == entry.term:
                continue
            if held_term is not None:
                if entry.index <= replica.commit_index:
                    raise AssertionError(f"committed entry {entry.index} would be replaced")
                replica.log.truncate(entry.index)
                records.append(Truncate(entry.index))
            replica.log.append(entry)
            records.append(entry)
        return records

    async def on_snapshot(self, req: SnapshotRequest) -> AppendReply:
        """Replace log and state by the leader's snapshot, if it is newer than the commit index."""
        replica = self._replica
        if req.term < replica.term:
            return AppendReply(replica.term, False, 0)
        records: list[Record | StoredState] = list(self._follow(req.sender, req.term))
        snapshot = req.snapshot
        if snapshot.index > replica.commit_index:
            replica.log.reset(snapshot)
            replica.machine.restore(snapshot.data)
            replica.commit_index = replica.applied_index = snapshot.index
            records.append(replica.stored_state())
        await replica.journal.write(records)
        return AppendReply(replica.term, True, snapshot.index)

    def _follow(self, leader_id: str, term: int) -> list[Record]:
        replica = self._replica
        records: list[Record] = []
        if term > replica.term:
            replica.adopt_term(term)
            records.append(HardState(replica.term, replica.voted_for))
        elif replica.role is not Role.FOLLOWER:
            replica.step_down()
        replica.leader_id = leader_id
        replica.election.record_leader_contact()
        return records
