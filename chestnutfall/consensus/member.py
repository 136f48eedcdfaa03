"""One replica as the membership names it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Member:
    """Identity, address and role of a replica.

    Attributes
    ----------
    replica_id : str
        Unique for the life of one disk; a host with a new disk has a new one.
    address : str
        IP and port.
    voter : bool
        False for a learner, which receives the log but counts for no quorum.
    """

    replica_id: str
    address: str
    voter: bool = True
