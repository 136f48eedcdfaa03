"""Role of a replica in its current term."""

from __future__ import annotations

from enum import Enum


class Role(Enum):
    """The roles of the Raft algorithm; a learner is a follower that is not a voter."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
