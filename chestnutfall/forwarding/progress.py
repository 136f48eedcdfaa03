"""How far a call has come over all its sends."""

from __future__ import annotations

from dataclasses import dataclass, field

from .call import Call
from .shared_retry_budget import SharedRetryBudget

MOST_GAPS = 256
"""More than the events of most streams; enough for a median, and a bound for endless ones."""


@dataclass(slots=True)
class Progress:
    """What holds for a call from one send to the next.

    Attributes
    ----------
    until_ms : int
        Clock time by which it must have its final answer.
    sends : int
        Sends so far.
    runs : int
        Sends that may have run.
    started : bool
        Whether the client has the beginning of an answer.
    last_event : int or None
        Number of the last event that the client has.
    first_ms : int
        Time from the call's arrival to the first part of its answer; -1 before that.
    pause_ms : int
        Longest time between two parts of its answer.
    avoid : list of str
        Instances that failed it.
    gaps_ms : list of int
        The first `MOST_GAPS` times between two parts of its answer.
    """

    call: Call
    until_ms: int
    budget: SharedRetryBudget
    sends: int = 0
    runs: int = 0
    started: bool = False
    last_event: int | None = None
    first_ms: int = -1
    pause_ms: int = 0
    avoid: list[str] = field(default_factory=list)
    gaps_ms: list[int] = field(default_factory=list)
    _part_ms: int = 0

    def note_part(self, now_ms: int) -> None:
        """Note that a part of the answer goes to the client."""
        if self.first_ms < 0:
            self.first_ms = now_ms - self.call.arrived_ms
        else:
            self.pause_ms = max(self.pause_ms, now_ms - self._part_ms)
            if len(self.gaps_ms) < MOST_GAPS:
                self.gaps_ms.append(now_ms - self._part_ms)
        self._part_ms = now_ms
