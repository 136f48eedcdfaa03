"""The closed union of messages between replicas.

Every message names the replica it is meant for: a host that lost its disk answers at the same
address under a new identity and must not be taken for the replica that remembered its votes.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..wire import Codec
from .entry import Entry
from .snapshot import Snapshot


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Ask for a vote, or (`pre`) whether one would be given.

    `transfer` is set when the leader itself asked this candidate to take over, and lifts the
    rule that a follower in touch with a leader votes for nobody.
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
    """The voter's term and its answer."""

    term: int
    granted: bool


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Entries that follow `prev_index`; none for a heartbeat."""

    to: str
    sender: str
    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Whether the log matched, and how far.

    `match_index` is the last entry known to be equal and synced if `ok`; otherwise the
    follower's best guess of where its log still agrees.
    """

    term: int
    ok: bool
    match_index: int


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """A whole state for a follower that is too far behind."""

    to: str
    sender: str
    term: int
    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class TakeOver:
    """The leader stops and asks the receiver to campaign at once."""

    to: str
    sender: str
    term: int


@dataclass(frozen=True, slots=True)
class WrongReplica:
    """The message was meant for an identity that does not live here."""

    replica_id: str


CONSENSUS_CODEC = Codec(
    VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotRequest, TakeOver, WrongReplica
)
