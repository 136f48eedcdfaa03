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
    data_centre, region : str
        Where its host stands; empty if unknown.
    counts : bool
        Whether the loss of its host counts; any number of others may be lost at any time.
    """

    replica_id: str
    address: str
    voter: bool = True
    data_centre: str = ""
    region: str = ""
    counts: bool = True
