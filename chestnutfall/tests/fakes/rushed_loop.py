"""A model of a gateway's event loop on a host of some size, with callers that open connections."""

from __future__ import annotations

from dataclasses import dataclass, field

from ...rush.connection_gate import ConnectionGate
from ...rush.opening import Opening
from .room_clock import RoomClock

STAGES = 10
"""Turns of the event loop that a call takes."""
ARRIVES_AT, BEGINS_AT, ASKS_AT = 1, 2, 5
STAGE_COST_MS = 0.2
"""Processor time of one stage; a call takes 2 ms."""


@dataclass(slots=True)
class _Call:
    came_ms: float
    opening: Opening | None
    stage: int = 0
    waits_until_ms: float = 0.0


@dataclass(slots=True)
class RushedLoop:
    """Runs calls turn by turn; each turn advances each call by one stage.

    Attributes
    ----------
    gate : ConnectionGate or None
        What admits new connections; None for none.
    share : float
        Part of a processor that the process has.
    slice_ms : int
        Time of which the process runs only its share, at a stretch; 0 for evenly.
    kept_each : int
        One call of so many comes on a new connection, the others on kept ones.
    upstream_ms : float
        Time that a call waits for its upstream, halfway.
    delays_ms : list of float
        Time from the coming to the end of each call, without that of its upstream.
    refused : int
        Connections that were closed unread.
    """

    clock: RoomClock
    gate: ConnectionGate | None
    share: float
    slice_ms: int = 0
    kept_each: int = 1
    upstream_ms: float = 0.0
    delays_ms: list[float] = field(default_factory=list)
    refused: int = 0
    _length_ms: int = 1
    _came: int = 0
    _now_ms: float = 0.0
    _next_ms: float = 0.0
    _calls: list[_Call] = field(default_factory=list)

    @property
    def capacity_per_s(self) -> float:
        """Calls that the processor can serve in a second."""
        return 1000 * self.share / (STAGES * STAGE_COST_MS)

    def run(self, ms: int, per_s: float) -> None:
        """Let callers come at a rate for some time."""
        self.delays_ms.clear()
        self.refused = 0
        self._length_ms = ms
        end_ms = self._now_ms + ms
        self._next_ms = self._now_ms
        while self._now_ms < end_ms:
            self._turn(1000 / per_s)

    @property
    def used(self) -> float:
        """Part of what the processor can serve that the last run served."""
        return 1000 * len(self.delays_ms) / self._length_ms / self.capacity_per_s

    def share_in_time(self, limit_ms: float) -> float:
        """Return the share of the calls that ended which took at most `limit_ms`."""
        return sum(one <= limit_ms for one in self.delays_ms) / max(len(self.delays_ms), 1)

    def _turn(self, each_ms: float) -> None:
        while self._next_ms <= self._now_ms:
            self._come(self._next_ms)
            self._next_ms += each_ms
        running = [one for one in self._calls if one.waits_until_ms <= self._now_ms]
        if not running:
            self._wait_until(min((self._next_ms, *(one.waits_until_ms for one in self._calls))))
            return
        for call in running:
            call.stage += 1
        self._work(len(running) * STAGE_COST_MS)
        for call in running:
            self._note(call)
        self._calls = [one for one in self._calls if one.stage < STAGES]

    def _come(self, came_ms: float) -> None:
        opening = None
        self._came += 1
        if self.gate is not None and self._came % self.kept_each == 0:
            opening = self.gate.admit()
            if opening is None:
                self.refused += 1
                return
        self._calls.append(_Call(came_ms, opening))

    def _note(self, call: _Call) -> None:
        if self.gate is not None:
            self._tell(self.gate, call)
        if call.stage == ASKS_AT:
            call.waits_until_ms = self._now_ms + self.upstream_ms
        if call.stage == STAGES:
            self.delays_ms.append(self._now_ms - call.came_ms - self.upstream_ms)

    def _tell(self, gate: ConnectionGate, call: _Call) -> None:
        if call.stage == ARRIVES_AT and call.opening is not None:
            gate.arrived(call.opening)
        if call.stage == BEGINS_AT:
            gate.began(call.opening)
        if call.stage == STAGES and call.opening is not None:
            gate.ended(call.opening)

    def _work(self, cost_ms: float) -> None:
        """Use processor time, which the host gives evenly or in slices."""
        if not self.slice_ms:
            self._wait_until(self._now_ms + cost_ms / self.share)
            return
        running_ms = self.slice_ms * self.share
        while cost_ms > 0:
            left_ms = running_ms - self._now_ms % self.slice_ms
            used_ms = min(cost_ms, max(left_ms, 0.0))
            cost_ms -= used_ms
            self._wait_until(self._now_ms + used_ms)
            if self._now_ms % self.slice_ms >= running_ms - 1e-6:
                self._wait_until((self._now_ms // self.slice_ms + 1) * self.slice_ms)

    def _wait_until(self, at_ms: float) -> None:
        self.clock.advance(at_ms - self._now_ms)
        self._now_ms = at_ms
