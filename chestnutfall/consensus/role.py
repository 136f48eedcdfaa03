"""What a replica is doing in its term."""

from __future__ import annotations

from enum import Enum


class Role(Enum):
    """The closed set of roles."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
