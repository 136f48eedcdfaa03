"""What a gateway knows of one upstream of a plain service."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..concurrency.upstream_room import MAX_PLACES, SLOWDOWN_FRESH_MS
from ..placement.upstream_health import UpstreamHealth
from ..signals import UpstreamLoad

LOAD_FRESH_MS = 250
"""How long a reported load counts; it is outdated after about ten short requests."""


@dataclass(slots=True)
class PlainUpstreamState:
    """State of one plain upstream on this gateway.

    Attributes
    ----------
    own_requests : int
        Requests of this gateway in progress there.
    other_requests : float
        Requests of other gateways there, by the last reported load.
    slots : int
        Requests that it runs at once, as it last reported.
    slowdown : float
        How many times as long as usual its work takes, as it last reported.
    load_reported_ms : int
        Clock time of the last reported load.
    """

    health: UpstreamHealth = field(default_factory=UpstreamHealth)
    own_requests: int = 0
    other_requests: float = 0.0
    slots: int = 1
    slowdown: float = 1.0
    load_reported_ms: int = -SLOWDOWN_FRESH_MS

    def note_load(self, load: UpstreamLoad, now_ms: int) -> None:
        """Record a load that the upstream reported."""
        self.other_requests = max(load.running + load.waiting - self.own_requests - 1, 0)
        self.slots = min(max(load.max_running, 1), MAX_PLACES)
        self.slowdown = load.slowdown
        self.load_reported_ms = now_ms

    def expected_ms(self, run_ms: float, now_ms: int) -> float:
        """Time in which one more request is expected to end there.

        Parameters
        ----------
        run_ms : float
            Usual time of a request.
        """
        age_ms = now_ms - self.load_reported_ms
        there = self.own_requests + (self.other_requests if age_ms < LOAD_FRESH_MS else 0.0)
        slowdown = self.slowdown if age_ms < SLOWDOWN_FRESH_MS else 1.0
        return run_ms * slowdown * (1 + there / self.slots)
