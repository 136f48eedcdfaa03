"""One member of the replicated group."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Member:
    """Identity, address and voting right of a replica.

    Attributes
    ----------
    replica_id : str
        Identity stored on the replica's disk; a host gets a new one with a new disk.
    address : str
        IP and port.
    voter : bool
        False for a learner, which receives the log but does not count towards any quorum.
    """

    replica_id: str
    address: str
    voter: bool = True
