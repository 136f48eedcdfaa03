"""How many calls one upstream of a plain service runs at once."""

from __future__ import annotations

import math

from ..placement import RunOutcome
from ..signals.upstream_load import UpstreamLoad
from .failure_rate import FailureRate

MAX_PLACES = 4_096
"""Bound against faulty reports; a larger room is never short."""
SLOWDOWN_FRESH_MS = 500
"""Other work on an upstream's host comes and goes within about this time."""
SEEN_MS = 5_000
"""How long the most calls that were seen running prove that so many can, and calls that waited in
spite of reported places that no more can."""
HANDOVER_MS = 15.0
"""Time from the end of one call at an upstream to the arrival of the next one through the leader:
four messages, the leader's pause between rounds, and the scheduling of three processes."""
SHED_FACTOR = 0.7
"""Part of the room that is left after an upstream refused a call for lack of it."""
SHED_INTERVAL_MS = 100
"""Refusals within this time have one cause and count once."""
SHED_RECOVERY_MS = 500
"""Time without a refusal after which one more call is tried."""


class UpstreamRoom:
    """Room of one upstream, from the loads that it reports and the calls that it refuses.

    An upstream may report any number of places. Fewer than it was seen to run at once are too few;
    if calls wait there although it reports free places, it has only those that it was seen to use.

    Attributes
    ----------
    failures : FailureRate
        Recent part of failed calls.
    """

    def __init__(self) -> None:
        self.failures = FailureRate()
        self._reported: int | None = None
        self._most_running = 0
        self._most_running_ms = -SEEN_MS
        self._proven: int | None = None
        self._proven_ms = 0
        self._slowdown = 1.0
        self._slowdown_ms = -SLOWDOWN_FRESH_MS
        self._shed = 0.0
        self._shed_ms = 0

    @property
    def known(self) -> bool:
        """Whether the upstream has reported a load."""
        return self._reported is not None

    def note_load(self, load: UpstreamLoad, now_ms: int) -> None:
        """Record a load that the upstream reported."""
        self._reported = load.max_running
        self._slowdown, self._slowdown_ms = load.slowdown, now_ms
        expired = now_ms - self._most_running_ms > SEEN_MS
        if expired or load.running >= self._most_running:
            self._most_running, self._most_running_ms = load.running, now_ms
        if load.waiting > 0 and self._most_running < load.max_running:
            self._proven, self._proven_ms = max(self._most_running, 1), now_ms

    def suggest(self, places: int) -> None:
        """Take the places that the last leader knew, unless the upstream has reported a load."""
        if self._reported is None:
            self._reported = places

    def note_outcome(self, outcome: RunOutcome, now_ms: int) -> None:
        """Record how a call ended there."""
        self.failures.note(outcome, now_ms)
        if outcome is RunOutcome.FULL:
            self._note_shed(now_ms)

    def _note_shed(self, now_ms: int) -> None:
        if self._shed and now_ms - self._shed_ms < SHED_INTERVAL_MS:
            return
        left = self.places(now_ms) * SHED_FACTOR
        self._shed = max(self._learned(now_ms) - left, 0.0)
        self._shed_ms = now_ms

    def places(self, now_ms: int) -> int:
        """Calls that run there at once, less a part for those that it refuses; at least 1."""
        recovered = (now_ms - self._shed_ms) / SHED_RECOVERY_MS
        return max(math.ceil(self._learned(now_ms) - max(self._shed - recovered, 0.0)), 1)

    def _learned(self, now_ms: int) -> int:
        places = self._reported or 0
        if self._proven is not None:
            # More than was proven is tried again step by step.
            steps = min((now_ms - self._proven_ms) // SEEN_MS, MAX_PLACES.bit_length())
            places = min(places, self._proven << steps)
        return min(max(places, self._most_running, 1), MAX_PLACES)

    def slowdown(self, now_ms: int) -> float:
        """How many times as long as usual calls take there; 1 if that is not known now."""
        return self._slowdown if now_ms - self._slowdown_ms < SLOWDOWN_FRESH_MS else 1.0


def margin(places: int, run_ms: float) -> int:
    """Calls that may wait at an upstream, so that no place idles until the next one arrives.

    Parameters
    ----------
    run_ms : float
        Time of a call there.
    """
    if run_ms <= 0:
        return 1
    return min(math.ceil(places * HANDOVER_MS / run_ms), places)
