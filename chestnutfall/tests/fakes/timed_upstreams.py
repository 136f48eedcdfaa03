"""Fake upstreams that write their answers at given times, and a selector among them."""

from __future__ import annotations

import re
from collections.abc import AsyncIterator, Callable, Iterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass

from ...clock import Clock
from ...control.upstream_record import UpstreamRecord
from ...forwarding.forwarded_call import ForwardedCall
from ...forwarding.place import NoPlace, Place, SelectionCriteria, UpstreamSelector
from ...forwarding.upstream_answer import NotRun, UpstreamAnswer
from ...forwarding.upstream_api import SILENT, AnswerLost, UpstreamApi
from ...placement import RunOutcome
from ...placement.run_times import RunTimes
from ...signals import NO_SIGNALS, UpstreamLoad

HANG = 1_000_000
"""A wait that outlasts every call, in ms."""


class Head:
    """The status and headers of an answer, ahead of its first part."""


@dataclass(frozen=True, slots=True)
class Status:
    """A failure with this status."""

    status: int


Step = int | bytes | Head | Status | NotRun | type[BaseException]
"""One step of an answer: an int is a wait in ms, bytes are a part, an exception ends it."""


@dataclass(slots=True)
class TimedSend:
    """One send as its upstream saw it.

    Attributes
    ----------
    ended_ms : int or None
        Clock time of its end; None while it runs.
    is_whole : bool
        Whether the upstream wrote its whole answer.
    """

    instance: str
    call: str
    at_ms: int
    resume_after: int | None
    ended_ms: int | None = None
    is_whole: bool = False


class TimedUpstreams(UpstreamApi):
    """Answers each send by the next script of its upstream, and records the sends.

    A resumed run leaves out the events that the client has.

    Attributes
    ----------
    scripts : dict of str to list of sequence of Step
        Scripts by instance; the last one of an instance serves all further sends.
    pauses : dict of str to (int, int)
        Clock times between which an instance writes nothing; it goes on afterwards.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.scripts: dict[str, list[Sequence[Step]]] = {}
        self.pauses: dict[str, tuple[int, int]] = {}
        self.sends: list[TimedSend] = []

    def to(self, instance: str) -> list[TimedSend]:
        """Return the sends to an upstream."""
        return [one for one in self.sends if one.instance == instance]

    @asynccontextmanager
    async def send(self, forwarded: ForwardedCall) -> AsyncIterator[UpstreamAnswer]:
        instance = forwarded.upstream.instance
        scripts = self.scripts[instance]
        steps = iter(scripts.pop(0) if len(scripts) > 1 else scripts[0])
        sent = TimedSend(
            instance, forwarded.call.request_id, self._clock.now_ms(), forwarded.resume_after
        )
        self.sends.append(sent)
        try:
            first = await self._next(steps, forwarded)
            match first:
                case NotRun():
                    yield UpstreamAnswer(503, (), first, NO_SIGNALS, self._body(b"", steps, sent))
                case Status(status):
                    body = self._body(b"failed", iter(()), sent)
                    yield UpstreamAnswer(status, (), None, NO_SIGNALS, body)
                case _:
                    part = first if isinstance(first, bytes) else b""
                    body = self._body(part, steps, sent, forwarded)
                    yield UpstreamAnswer(200, (("from", instance),), None, NO_SIGNALS, body)
        finally:
            sent.ended_ms = self._clock.now_ms()

    async def _next(self, steps: Iterator[Step], forwarded: ForwardedCall) -> Step | None:
        """Return the next step that is no wait; None at the end of the answer."""
        for step in steps:
            pause_ms = self._pause_ms(forwarded.upstream.instance)
            if isinstance(step, int) or pause_ms:
                wait_ms = pause_ms + (step if isinstance(step, int) else 0)
                await self._clock.sleep_ms(min(wait_ms, forwarded.silent_ms))
                if wait_ms > forwarded.silent_ms:
                    raise AnswerLost(SILENT)
            if isinstance(step, int):
                continue
            if isinstance(step, type):
                raise step("scripted")
            if not _is_known(step, forwarded.resume_after):
                return step
        return None

    def _pause_ms(self, instance: str) -> int:
        from_ms, until_ms = self.pauses.get(instance, (0, 0))
        now_ms = self._clock.now_ms()
        return until_ms - now_ms if from_ms <= now_ms < until_ms else 0

    async def _body(
        self,
        first: bytes,
        steps: Iterator[Step],
        sent: TimedSend,
        forwarded: ForwardedCall | None = None,
    ) -> AsyncIterator[bytes]:
        if first:
            yield first
        while forwarded is not None and (step := await self._next(steps, forwarded)) is not None:
            assert isinstance(step, bytes)
            yield step
        sent.is_whole = True


def _is_known(step: Step, resume_after: int | None) -> bool:
    """Whether a part is an event that the client has."""
    number = re.match(rb"id: (\d+)\n", step) if isinstance(step, bytes) else None
    return number is not None and int(number[1]) <= (resume_after or 0)


class TimedSelector(UpstreamSelector):
    """Selects the first upstream that a call may use, and records what it is asked.

    Attributes
    ----------
    has_others : bool
        Whether places say that another upstream could take the call.
    is_spread : bool
        Whether each selection begins with the next upstream.
    forced : callable
        Returns the upstream to select whatever the criteria say; None to go by them.
    obeys_avoid : bool
        Whether calls never get an upstream that they avoid.
    failure : Exception or None
        Raised for calls that avoid an upstream.
    on_found : callable
        Called when a call that avoids an upstream gets a place.
    records : bool
        Whether places are recorded by the leader.
    no_place : str
        If set, calls that avoid an upstream get no place, for this reason.
    delays_ms : list of int
        How long the next selections take; the last one holds for all further ones.
    outcomes : dict of str to list of RunOutcome
        Ends of sends by instance.
    noted_silent : list of str
        Instances that were noted as silent while a send went on.
    """

    def __init__(self, upstreams: Sequence[UpstreamRecord], clock: Clock) -> None:
        self.upstreams = list(upstreams)
        self._clock = clock
        self._number = 0
        self.no_place = ""
        self.has_others = True
        self.is_spread = False
        self.forced: Callable[[SelectionCriteria], UpstreamRecord | None] = lambda criteria: None
        self.obeys_avoid = True
        self.failure: Exception | None = None
        self.on_found: Callable[[], None] = lambda: None
        self.records = False
        self._at = -1
        self.delays_ms = [0]
        self.open_places = 0
        self.criteria: list[SelectionCriteria] = []
        self.outcomes: dict[str, list[RunOutcome]] = {}
        self.noted_silent: list[str] = []

    async def select(self, criteria: SelectionCriteria) -> Place:
        self.criteria.append(criteria)
        delay_ms = self.delays_ms.pop(0) if len(self.delays_ms) > 1 else self.delays_ms[0]
        if delay_ms:
            await self._clock.sleep_ms(delay_ms)
        if criteria.avoid and self.no_place:
            raise NoPlace(self.no_place, 700)
        if criteria.avoid and self.failure is not None:
            raise self.failure
        forced = self.forced(criteria)
        if forced is not None:
            return self._place(forced, criteria)
        self._at += 1
        at = self._at % len(self.upstreams) if self.is_spread else 0
        for upstream in (*self.upstreams[at:], *self.upstreams[:at]):
            is_avoided = self.obeys_avoid and upstream.instance in criteria.avoid
            if not is_avoided and criteria.allows(upstream):
                return self._place(upstream, criteria)
        raise NoPlace("full", 700)

    def _place(self, upstream: UpstreamRecord, criteria: SelectionCriteria) -> Place:
        self._number += 1
        self.open_places += 1
        if criteria.avoid:
            self.on_found()
        has_other = self.has_others and len(self.upstreams) > 1
        ticket = f"t{self._number}"
        return Place(ticket, upstream, 0, has_other=has_other, is_recorded=self.records)

    def held_back_ms(self, service: str) -> float:
        return 0.0

    def note_silent(self, place: Place) -> None:
        self.noted_silent.append(place.upstream.instance)

    def release(
        self, place: Place, outcome: RunOutcome, times: RunTimes, load: UpstreamLoad | None
    ) -> None:
        self.open_places -= 1
        self.outcomes.setdefault(place.upstream.instance, []).append(outcome)
