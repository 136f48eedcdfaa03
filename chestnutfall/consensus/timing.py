"""Timeouts of a replica."""

from __future__ import annotations

from dataclasses import dataclass

DRIFT_BOUND = 0.1
"""Assumed bound on the relative difference in rate of two hosts' clocks; real clocks stay below
0.001."""


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals and timeouts of elections and replication.

    Attributes
    ----------
    heartbeat_ms : int
        Interval between calls to an idle follower, and before a retry after a failed call.
    election_min_ms, election_max_ms : int
        Range of the randomised election timeout.
    call_timeout_ms : int
        Deadline of a call to another replica.
    write_off_ms : int
        How long a leader of a small group waits for the copy of a voter that is silent; longer than
        a restart takes.
    """

    heartbeat_ms: int = 100
    election_min_ms: int = 600
    election_max_ms: int = 1000
    call_timeout_ms: int = 500
    write_off_ms: int = 8_000

    @property
    def lease_ms(self) -> int:
        """Duration of the leader's lease, from the time it sent a call that a quorum answered.

        Followers grant no vote for `election_min_ms` after contact with a leader. The lease is
        shorter by `DRIFT_BOUND`, so it ends before a successor can be elected even if the
        leader's clock is slow.
        """
        return int(self.election_min_ms * (1 - DRIFT_BOUND))
