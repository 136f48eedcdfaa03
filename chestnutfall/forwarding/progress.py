"""How far a call has come over all its sends."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..signals import NO_SIGNALS, UpstreamSignals
from .call import Call

MOST_GAPS = 256
"""More than the events of most streams; enough for a median, and a bound for endless ones."""


@dataclass(slots=True)
class Progress:
    """What holds for a call from one send to the next.

    Attributes
    ----------
    until_ms : int
        Clock time by which it must have its final answer.
    service : str
        The service that it goes to.
    fingerprint : str
        The same for each call with this content, at any gateway.
    organisation : str
        Whose call it is; empty where nobody needs a key.
    sends : int
        Sends so far.
    refusals : int
        Sends of which it is proven that nothing ran.
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
    too_early : list of str
        Instances that it came to before its adapter was there.
    signals : UpstreamSignals
        What the last answer said of its upstream.
    holds_repeat : bool
        Whether a repeat was taken for it that is not sent yet.
    gaps_ms : list of int
        The first `MOST_GAPS` times between two parts of its answer.
    """

    call: Call
    until_ms: int
    service: str
    fingerprint: str = ""
    organisation: str = ""
    sends: int = 0
    refusals: int = 0
    runs: int = 0
    started: bool = False
    last_event: int | None = None
    first_ms: int = -1
    pause_ms: int = 0
    avoid: list[str] = field(default_factory=list)
    too_early: list[str] = field(default_factory=list)
    signals: UpstreamSignals = NO_SIGNALS
    holds_repeat: bool = False
    gaps_ms: list[int] = field(default_factory=list)
    _part_ms: int = 0

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have begun to work on it, also by a send in progress."""
        return self.sends > self.refusals

    def note_refusal(self, instance: str, came_too_early: bool) -> None:
        """Note that an upstream refused it, so that nothing ran.

        The adapter that one engine lacks is nearly always on its way there. Placed elsewhere, the
        call waits for a second load, which takes the place of another adapter and is paid for;
        placed there again, it waits for the rest of the first. An engine that refuses it for that
        twice is left: its load was lost.
        """
        if came_too_early and instance not in self.too_early:
            self.too_early.append(instance)
        else:
            self.avoid.append(instance)

    def note_part(self, now_ms: int) -> None:
        """Note that a part of the answer goes to the client."""
        if self.first_ms < 0:
            self.first_ms = now_ms - self.call.arrived_ms
        else:
            self.pause_ms = max(self.pause_ms, now_ms - self._part_ms)
            if len(self.gaps_ms) < MOST_GAPS:
                self.gaps_ms.append(now_ms - self._part_ms)
        self._part_ms = now_ms
