"""The closed union of messages between replicas.

Every request names its receiver in `to` and its sender in `sender`, both by replica id. A host
that lost its disk answers at the same address under a new identity. It must not be mistaken for
the lost replica, since it has no record of that replica's votes.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..wire import Codec
from .entry import Entry
from .snapshot import Snapshot


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """A candidate's request for a vote, or (`pre`) for whether it would be granted.

    Attributes
    ----------
    term : int
        Term that the candidate wants to be elected in.
    last_index, last_term : int
        Index and term of the last entry in the candidate's log.
    pre : bool
        Pre-vote: the receiver replies without changing its state.
    transfer : bool
        The leader asked this candidate to take over; this lifts the rule that a replica in
        contact with a leader grants no vote.
    """

    to: str
    sender: str
    term: int
    last_index: int
    last_term: int
    pre: bool
    transfer: bool


@dataclass(frozen=True, slots=True)
class VoteReply:
    """The receiver's term, and whether it grants its vote; also the reply to `TakeOver`."""

    term: int
    granted: bool


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """The leader's entries that follow `prev_index`; none in a heartbeat.

    Attributes
    ----------
    prev_index, prev_term : int
        Index and term of the entry before the first of `entries`; the receiver's log must match
        there.
    commit : int
        The leader's commit index.
    """

    to: str
    sender: str
    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int


@dataclass(frozen=True, slots=True)
class AppendReply:
    """The follower's reply to `AppendRequest` and `SnapshotRequest`.

    Attributes
    ----------
    term : int
        The follower's term.
    ok : bool
        Whether the log matched and everything in the request is synced.
    match_index : int
        With `ok`, the last index known to match the leader's log and to be synced; otherwise an
        estimate of the last index where the logs match.
    """

    term: int
    ok: bool
    match_index: int


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """The leader's snapshot, for a follower that needs entries the leader has discarded."""

    to: str
    sender: str
    term: int
    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class TakeOver:
    """The leader steps down and asks the receiver to campaign at once (leadership transfer)."""

    to: str
    sender: str
    term: int


@dataclass(frozen=True, slots=True)
class WrongReplica:
    """Reply to a message for another replica id; `replica_id` is that of the replier."""

    replica_id: str


CONSENSUS_CODEC = Codec(
    VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotRequest, TakeOver, WrongReplica
)
