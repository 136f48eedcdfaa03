"""How long a replica waits for what."""

from __future__ import annotations

from dataclasses import dataclass

DRIFT_BOUND = 0.1
"""Two hosts' clocks may differ in rate by this part; real ones differ by less than 0.001."""


@dataclass(frozen=True, slots=True)
class Timing:
    """Times of elections and replication, ms."""

    heartbeat_ms: int = 100
    election_min_ms: int = 600
    election_max_ms: int = 1000
    call_ms: int = 500

    @property
    def lease_ms(self) -> int:
        """How long a quorum's answer lets a leader decide.

        Followers refuse every vote for `election_min_ms` after hearing from a leader, so a
        successor can't be elected before this ends, even if the leader's clock is slow.
        """
        return int(self.election_min_ms * (1 - DRIFT_BOUND))
