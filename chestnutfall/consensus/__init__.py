"""A replicated log (Raft): elections, leader lease, replication, snapshots, membership changes."""

from __future__ import annotations

from .entry import Entry
from .errors import Busy, LeadershipLost, NotLeader, StorageFailed
from .member import Member
from .replica import Replica
from .snapshot import Snapshot
from .state_machine import StateMachine
from .storage import Storage, StoredState
from .timing import Timing
from .tolerance import Tolerance
from .transport import Transport

__all__ = [
    "Busy",
    "Entry",
    "LeadershipLost",
    "Member",
    "NotLeader",
    "Replica",
    "Snapshot",
    "StateMachine",
    "Storage",
    "StorageFailed",
    "StoredState",
    "Timing",
    "Tolerance",
    "Transport",
]
