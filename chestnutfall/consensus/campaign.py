"""Collecting votes for a candidate."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .member import Member
from .messages import VoteReply, VoteRequest, WrongReplica

if TYPE_CHECKING:
    from .replica import Replica


async def collect_votes(replica: Replica, term: int, pre: bool, transfer: bool) -> bool:
    """Ask every voter for its vote and return whether a quorum granted it.

    The result is known as soon as a quorum has granted its vote; requests still in progress
    are then cancelled. A voter that can't be reached counts as a refusal. A reply with a later
    term makes `replica` adopt that term.

    Parameters
    ----------
    term : int
        Term to be elected in.
    pre : bool
        Only ask whether the votes would be granted; no voter changes its state (pre-vote).
    transfer : bool
        The leader asked `replica` to take over, so voters in contact with it may still vote.
    """
    voters = [member for member in replica.members if member.voter]
    quorum = replica.quorum()
    last_index, last_term = replica.log.last_index, replica.log.last_term

    async def ask(member: Member) -> str:
        """Return the voter's id if it grants its vote, else an empty text."""
        if member.replica_id == replica.replica_id:
            return member.replica_id
        req = VoteRequest(
            member.replica_id, replica.replica_id, term, last_index, last_term, pre, transfer
        )
        try:
            reply = await replica.transport.call(member, req, replica.timing.call_timeout_ms)
        except ConnectionError:
            return ""
        if isinstance(reply, WrongReplica):
            replica.note_lost(member, reply.replica_id)
        if not isinstance(reply, VoteReply):
            return ""
        if reply.term > replica.term:
            replica.adopt_and_store_term(reply.term)
        return member.replica_id if reply.granted else ""

    granted: set[str] = set()
    tasks = [asyncio.ensure_future(ask(member)) for member in voters]
    try:
        for done in asyncio.as_completed(tasks):
            granted.add(await done)
            if quorum.elects(granted, replica.lost):
                return True
        return False
    finally:
        for task in tasks:
            task.cancel()
