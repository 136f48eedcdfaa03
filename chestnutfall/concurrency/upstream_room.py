"""How many calls one upstream of a plain service runs at once."""

from __future__ import annotations

import math

from ..placement import RunOutcome
from ..placement.upstream_health import FAILURE_COST_MS, UpstreamHealth
from ..signals.upstream_load import UpstreamLoad

MAX_PLACES = 4_096
"""Bound against faulty reports; a larger room is never short."""
SLOWDOWN_FRESH_MS = 500
"""Other work on an upstream's host comes and goes within about this time."""
RUNNING_SEEN_MS = 5_000
"""How long the most calls that were seen running at once prove that they can."""
HANDOVER_MS = 10.0
"""Time from the end of one call at an upstream to the arrival of the next one through the leader:
four messages and the scheduling of three processes."""
SHED_FACTOR = 0.7
"""Part of the room that is left after an upstream refused a call for lack of it."""
SHED_INTERVAL_MS = 100
"""Refusals within this time have one cause and count once."""
SHED_RECOVERY_MS = 500
"""Time without a refusal after which one more call is tried."""


class UpstreamRoom:
    """Room of one upstream, from the loads that it reports and the calls that it refuses.

    An upstream may report any number of places. More calls than it was ever seen to run are no
    room if some wait there, and fewer places than it runs at once are too few.
    """

    def __init__(self) -> None:
        self._reported: int | None = None
        self._is_full = False
        self._most_running = 0
        self._most_running_ms = -RUNNING_SEEN_MS
        self._slowdown = 1.0
        self._slowdown_ms = -SLOWDOWN_FRESH_MS
        self._shed = 0.0
        self._shed_ms = 0
        self._health = UpstreamHealth()

    @property
    def known(self) -> bool:
        """Whether the upstream has reported a load."""
        return self._reported is not None

    def note_load(self, load: UpstreamLoad, now_ms: int) -> None:
        """Record a load that the upstream reported."""
        self._reported = load.max_running
        self._slowdown, self._slowdown_ms = load.slowdown, now_ms
        expired = now_ms - self._most_running_ms > RUNNING_SEEN_MS
        if expired or load.running >= self._most_running:
            self._most_running, self._most_running_ms = load.running, now_ms
        self._is_full = load.waiting > 0

    def note_outcome(self, outcome: RunOutcome, now_ms: int) -> None:
        """Record how a call ended there."""
        self._health.note(outcome, now_ms)
        if outcome is RunOutcome.FULL:
            self._note_shed(now_ms)

    def _note_shed(self, now_ms: int) -> None:
        if self._shed and now_ms - self._shed_ms < SHED_INTERVAL_MS:
            return
        left = self.places(now_ms) * SHED_FACTOR
        self._shed = max(self._learned() - left, 0.0)
        self._shed_ms = now_ms

    def places(self, now_ms: int) -> int:
        """Calls that run there at once, less a part for those that it refuses or fails; at least 1.

        An upstream that fails calls at once has free places all the time. Without that part it
        would get most calls of a service that is short of room.
        """
        recovered = (now_ms - self._shed_ms) / SHED_RECOVERY_MS
        left = self._learned() - max(self._shed - recovered, 0.0)
        return max(math.ceil(left * (1 - self.failure(now_ms))), 1)

    def _learned(self) -> int:
        places = self._reported or 0
        if self._is_full and self._most_running < places:
            places = self._most_running
        return min(max(places, self._most_running, 1), MAX_PLACES)

    def margin(self, run_ms: float, now_ms: int) -> int:
        """Calls that may wait there, so that no place idles until the next one arrives."""
        places = self.places(now_ms)
        if run_ms <= 0:
            return 1
        return min(math.ceil(places * HANDOVER_MS / run_ms), places)

    def slowdown(self, now_ms: int) -> float:
        """How many times as long as usual calls take there; 1 if that is not known now."""
        return self._slowdown if now_ms - self._slowdown_ms < SLOWDOWN_FRESH_MS else 1.0

    def failure(self, now_ms: int) -> float:
        """Recent fraction of failed calls, from 0 to 1."""
        return self._health.cost_ms(now_ms) / FAILURE_COST_MS
