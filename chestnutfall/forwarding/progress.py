"""State of a call over all its sends."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..requests import part_keys
from ..resumption import StreamOrigin
from .call import Call

MAX_SENDS = 6
"""Upper bound on the sends of one call. Refused sends are cheap, but each one counts as a repeat
for the upstream that refuses."""
MAX_GAPS = 256
"""Limit on the recorded gaps of an endless stream. Most streams have fewer events, and a median
needs no more."""


@dataclass(slots=True)
class Progress:
    """State of a call that is kept from one send to the next.

    Attributes
    ----------
    until_ms : int
        Clock time by which the call must have its final answer.
    service : str
        Service to which the call is routed.
    fingerprint : str
        Digest of caller, path and body; the same at every gateway.
    organisation : str
        Organisation that sent the call; empty if the route needs no key.
    sends : int
        Sends so far, including one in progress.
    last_sent_ms : int
        Clock time at which the last one went out; -1 before the first.
    helped : int
        Sends that another gateway made for this one.
    refusals : int
        Sends of which it is proven that nothing ran.
    runs : int
        Ended sends that may have run.
    attempts : int
        Upstreams that may have run it, as far as their sends ended. To take the call up where it
        was overtaken is not one more.
    started : bool
        Whether the client has the beginning of an answer.
    last_event : int or None
        Number of the last event that the client has.
    first_ms : int
        Time from the call's arrival to the first part of its answer; -1 before that.
    pause_ms : int
        Longest time between two parts of the answer.
    avoid : list of str
        Instances that failed the call.
    overtaken : list of str
        Instances whose run was left for another one, and at which the call may go on.
    lacked_adapter : list of str
        Instances that refused the call once, since its adapter was not loaded yet.
    holds_repeat : bool
        Whether a repeat was taken from the budget for a send that has not begun.
    way_back_ms : int or None
        Clock time at which a repeat was taken to go back to an upstream that was overtaken; None if
        none is kept.
    goes_back : bool
        Whether the next send may only go to an upstream that was overtaken.
    gaps_ms : list of int
        The first `MAX_GAPS` times between two parts of the answer.
    streamed : bool
        Whether the answer is a stream.
    ended_upstream : bool
        Whether an upstream ended while it ran the call.
    is_searched : bool
        Whether another upstream was looked for beside one that is silent.
    origin : StreamOrigin or None
        What wrote the events that the client has; None before the first, or if unknown.
    """

    call: Call
    until_ms: int
    service: str
    fingerprint: str = ""
    organisation: str = ""
    sends: int = 0
    last_sent_ms: int = -1
    helped: int = 0
    refusals: int = 0
    runs: int = 0
    attempts: int = 0
    started: bool = False
    last_event: int | None = None
    first_ms: int = -1
    pause_ms: int = 0
    avoid: list[str] = field(default_factory=list)
    overtaken: list[str] = field(default_factory=list)
    lacked_adapter: list[str] = field(default_factory=list)
    holds_repeat: bool = False
    way_back_ms: int | None = None
    goes_back: bool = False
    gaps_ms: list[int] = field(default_factory=list)
    streamed: bool = False
    ended_upstream: bool = False
    is_searched: bool = False
    origin: StreamOrigin | None = None
    _last_part_ms: int = 0

    @property
    def part_keys(self) -> tuple[str, ...]:
        """Names of the shared parts of the call's prompt."""
        return part_keys(self.organisation, (part.part_id for part in self.call.parts))

    @property
    def resumes(self) -> bool:
        """Whether the client has events of the stream, from this call or from an earlier one."""
        return self.streamed and self.last_event is not None

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have begun to run the call, including the current send."""
        return self.sends > self.refusals

    def note_refusal(self, instance: str, lacks_adapter: bool) -> None:
        """Record that an upstream refused the call and ran nothing.

        An adapter that an engine lacks is nearly always being loaded there. On another engine the
        call would wait for a second load, which is paid for and evicts another adapter; on the same
        engine it waits only for the rest of the first load. An engine that lacks the adapter a
        second time is avoided, since its load has failed.

        Parameters
        ----------
        lacks_adapter : bool
            Whether the upstream refused because the adapter is not loaded.
        """
        if lacks_adapter and instance not in self.lacked_adapter:
            self.lacked_adapter.append(instance)
            return
        self.avoid.append(instance)
        if instance in self.overtaken:
            self.overtaken.remove(instance)

    def note_run(self, instance: str) -> None:
        """Record the end of a send that may have run the call."""
        self.runs += 1
        if instance in self.overtaken:
            self.overtaken.remove(instance)
        else:
            self.attempts += 1

    def note_overtaken(self, instance: str) -> None:
        """Record that a send which may have run the call was left for another one."""
        self.note_run(instance)
        self.overtaken.append(instance)

    def note_part(self, now_ms: int) -> None:
        """Record that a part of the answer is sent to the client at `now_ms`."""
        if self.first_ms < 0:
            self.first_ms = now_ms - self.call.arrived_ms
        else:
            self.pause_ms = max(self.pause_ms, now_ms - self._last_part_ms)
            if len(self.gaps_ms) < MAX_GAPS:
                self.gaps_ms.append(now_ms - self._last_part_ms)
        self._last_part_ms = now_ms
