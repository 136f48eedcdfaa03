"""Classes of requests that compete for the engines of one service, on plain data and a clock."""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from ...clock import ManualClock
from ...placement import AdapterName, EngineReport, Grant, PlaceRequest, Reject, RunOutcome
from ...placement.placer import Placer
from ...placement.run_times import RunTimes
from ...routes import EngineSpec

TOKENS_PER_MS = 30.0
FIRST_MS = 20.0
"""Time from sending a prompt to an idle engine to its first event, without the prefill."""
GAP_MS = 20.0
PAUSE_MS = 500
STEP_MS = 8
"""How often the leader decides while messages keep arriving."""
ANSWER_MS = 6
"""From a decision of the leader to the caller."""
MAX_RETRY_SHARE = 1 / 3
"""Callers that are refused return once, after the retry time or this part of the time left."""
SILENT_MS = 3_950
"""Callers give up a stream whose first event takes longer."""
NO_ADAPTER = AdapterName("", "")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests.

    Attributes
    ----------
    rank : int
        Urgency, 0 is first.
    objective_ms, deadline_ms : int
        Time until the first event is late, and until the caller gives up.
    tokens : int
        Prompt tokens.
    events : int
        Events of an answer.
    """

    name: str
    rank: int
    objective_ms: int
    deadline_ms: int
    tokens: int
    events: int


URGENT = RequestClass("urgent", 0, 500, 6_000, 650, 14)
DEFERRED = RequestClass("deferred", 1, 1_000, 20_000, 650, 14)
LONG = RequestClass("long", 2, 2_000, 6_000, 9_200, 10)
PREFILL_PER_S = 28.0
"""Requests of the usual mix whose prefill one engine can process."""


@dataclass(frozen=True, slots=True)
class Arrivals:
    """Requests of one class that arrive at a steady rate from `from_ms` to `until_ms`."""

    kind: RequestClass
    per_s: float
    from_ms: int = 0
    until_ms: int = 1_000_000


def usual_mix(engines: int, load: float, from_ms: int = 0) -> list[Arrivals]:
    """Return the arrivals of a usual mix of classes, by its share of what the engines can do."""
    per_s = engines * PREFILL_PER_S * load
    return [
        Arrivals(URGENT, 0.913 * per_s, from_ms),
        Arrivals(DEFERRED, 0.063 * per_s, from_ms),
        Arrivals(LONG, 0.024 * per_s, from_ms),
    ]


@dataclass(slots=True)
class ClassResult:
    """What the requests of one class got.

    Attributes
    ----------
    asked, in_time, late, refused : int
        Requests that arrived; that began in time, or later; that were refused for good.
    returned : int
        Requests that were refused once and came back.
    held_ms : list of int
        How long each request that was refused had waited.
    """

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    returned: int = 0
    held_ms: list[int] = field(default_factory=list)

    @property
    def in_time_share(self) -> float:
        """Share with the first event in time."""
        return self.in_time / max(self.asked, 1)

    @property
    def served_share(self) -> float:
        """Share with a first event before the caller gave up."""
        return (self.in_time + self.late) / max(self.asked, 1)


@dataclass(slots=True)
class _Caller:
    kind: RequestClass
    since_ms: int
    sent_ms: int
    counts: bool
    tries: int = 1


class _Engine:
    """Processes prompts one after the other, and pauses its streams meanwhile."""

    def __init__(self) -> None:
        self._free_ms = 0.0

    def first_ms(self, tokens: int, now_ms: int) -> float:
        """Clock time of the first event of a prompt that is sent now."""
        self._free_ms = max(self._free_ms, now_ms) + tokens / TOKENS_PER_MS
        return self._free_ms + FIRST_MS


class ClassOffice:
    """Plays classes of requests against a placer and engines of one service."""

    def __init__(self, engines: int, batch: int, seed: int = 7) -> None:
        self.clock = ManualClock()
        self.placer = Placer(self.clock)
        self._rng = random.Random(seed)
        self._engines = {f"e{number}": _Engine() for number in range(engines)}
        spec = EngineSpec(batch, 400_000, (), 0, 0, 1)
        for instance in self._engines:
            self.placer.engine_up(instance, "s", "dc", spec)
            self.placer.engine_reported(instance, EngineReport({}, {}, {}, 0))
        self._callers: dict[str, _Caller] = {}
        self._ending: list[tuple[float, str, RunTimes]] = []
        self._returning: list[tuple[int, int, _Caller]] = []
        self._numbers = 0
        self._open = 0
        self.results: dict[str, ClassResult] = {}

    def play(
        self, arrivals: Iterable[Arrivals], until_ms: int, from_ms: int = 0
    ) -> dict[str, ClassResult]:
        """Play until all requests that arrive between these times have ended, and count them.

        Requests keep arriving meanwhile: at the end of the load, late ones would find free engines.
        """
        streams = list(arrivals)
        due_ms = [float(one.from_ms) for one in streams]
        while self.clock._now_ms < until_ms or self._open:
            now_ms = self.clock._now_ms
            for at, one in enumerate(streams):
                while due_ms[at] <= now_ms < one.until_ms:
                    self.submit(one.kind, from_ms <= now_ms < until_ms)
                    due_ms[at] += self._rng.expovariate(one.per_s / 1000)
            self._step(now_ms)
            self.clock._now_ms += STEP_MS
        return self.results

    def submit(self, kind: RequestClass, counts: bool = True) -> None:
        """Let a request of this class arrive now."""
        now_ms = self.clock._now_ms
        self._open += counts
        self._result(kind).asked += counts
        self._send(_Caller(kind, now_ms, now_ms, counts))

    def _result(self, kind: RequestClass) -> ClassResult:
        return self.results.setdefault(kind.name, ClassResult())

    def _send(self, caller: _Caller) -> None:
        self._numbers += 1
        ticket = f"g/{self._numbers}"
        kind = caller.kind
        caller.sent_ms = self.clock._now_ms
        left_ms = caller.since_ms + kind.deadline_ms - caller.sent_ms
        self._callers[ticket] = caller
        self.placer.submit(
            PlaceRequest(
                ticket,
                "s",
                NO_ADAPTER,
                kind.tokens,
                70,
                (),
                kind.rank,
                kind.objective_ms,
                min(left_ms, SILENT_MS),
                "dc",
                pause_objective_ms=PAUSE_MS,
            )
        )

    def _step(self, now_ms: int) -> None:
        while self._returning and self._returning[0][0] <= now_ms:
            self._send(heapq.heappop(self._returning)[2])
        while self._ending and self._ending[0][0] <= now_ms:
            _, ticket, times = heapq.heappop(self._ending)
            self.placer.release(ticket, RunOutcome.DONE, times)
        for decision in self.placer.decide():
            match decision:
                case Grant(ticket, instance):
                    self._run(ticket, instance, now_ms)
                case Reject(ticket, _, retry_ms):
                    self._refuse(self._callers.pop(ticket), retry_ms, now_ms)
                case _:
                    raise AssertionError("engines without models have no orders")

    def _run(self, ticket: str, instance: str, now_ms: int) -> None:
        caller = self._callers.pop(ticket)
        kind = caller.kind
        first_ms = self._engines[instance].first_ms(kind.tokens, now_ms)
        took_ms = first_ms + ANSWER_MS - caller.since_ms
        if caller.counts:
            self._open -= 1
            result = self._result(kind)
            result.in_time += took_ms <= kind.objective_ms
            result.late += kind.objective_ms < took_ms <= kind.deadline_ms
        end_ms = first_ms + kind.events * GAP_MS
        heapq.heappush(self._ending, (end_ms, ticket, RunTimes(first_ms - now_ms, 0.0, GAP_MS)))

    def _refuse(self, caller: _Caller, retry_ms: int, now_ms: int) -> None:
        left_ms = caller.since_ms + caller.kind.deadline_ms - now_ms
        result = self._result(caller.kind)
        result.held_ms.append(now_ms - caller.sent_ms)
        if caller.tries > 1:
            self._open -= caller.counts
            result.refused += caller.counts
            return
        result.returned += caller.counts
        caller.tries += 1
        self._numbers += 1
        wait_ms = int(min(retry_ms, left_ms * MAX_RETRY_SHARE))
        heapq.heappush(self._returning, (now_ms + wait_ms, self._numbers, caller))
