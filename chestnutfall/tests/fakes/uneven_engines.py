"""Load model of engines that differ in speed and share their hosts, for tests and benchmarks.

Requests arrive at a steady rate, engines process prompts one after another and stream answers, and
their answers report how much other work slows them down. Time is simulated and nothing is sent:
placement is the real one.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from ...clock import ManualClock
from ...placement import (
    AdapterName,
    EngineReport,
    Grant,
    LoadAdapter,
    PlaceRequest,
    Reject,
    RunOutcome,
    UnloadAdapter,
)
from ...placement.place_request import PromptPart
from ...placement.placer import Placer
from ...placement.run_times import RunTimes
from ...routes import EngineSpec, ModelSpec

MODEL = "base"
STEP_MS = 4
"""How often the leader decides while messages arrive."""
TOKENS_PER_MS = 38.7
FIRST_MS = 20.0
"""First event of an empty prompt, at usual speed."""
JITTER = 0.4
"""Standard deviation of the logarithm of that time."""
LOST_PACKETS = 0.02
LOST_PACKET_MS = 200
"""Part of the first events that a lost packet delays, and by how much."""
GAP_MS = 38.0
"""Time between two events, at usual speed, of a stream that runs alone."""
GAP_GROWTH = 0.02
"""Part by which each further stream on the engine lengthens the steps of all."""
LINK_MS = 3
"""One way from the leader to a gateway, and from there to an engine."""
REPORT_MS = 25
"""Mean time until a gateway sends what answers reported, as it sends several together."""
LOAD_MS = 288
COPY_LOAD_MS = 29
STORED_COPIES = 40
"""Adapters that an engine keeps in memory after unloading them."""
WAIT_MS = 5_000
PAUSE_MS = 500
KEPT_MS = 10_000
"""Prefill that ended earlier is forgotten; no stream lasts as long."""
REPORTED_FROM = 1.15
"""A slowdown below this is not reported."""


@dataclass(frozen=True, slots=True)
class Noise:
    """Other work on the hosts of engines.

    Attributes
    ----------
    share : float
        Part of the time that it slows an engine down.
    spell_ms : float
        Mean length of such a spell.
    factor : float
        How many times as long work takes meanwhile.
    """

    share: float = 0.0
    spell_ms: float = 500.0
    factor: float = 2.5


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Requests of one kind.

    Attributes
    ----------
    per_s : float
        Requests a second.
    shared_tokens, own_tokens : int
        Prompt tokens that all requests for one adapter share, and those of each request.
    """

    name: str
    per_s: float
    shared_tokens: int
    own_tokens: int
    objective_ms: int
    events: int


SHORT = RequestKind("short", 354, 155, 491, 620, 10)
DEFERRED = RequestKind("deferred", 27.8, 155, 491, 1_020, 10)
LONG = RequestKind("long", 15.8, 6_300, 2_890, 847, 7)


@dataclass(frozen=True, slots=True)
class UnevenLoad:
    """What is simulated.

    Attributes
    ----------
    speeds : tuple of float
        How many times as long as usual the work of each engine takes.
    changes : dict of int to tuple
        Other speeds, by the time in ms from which they hold.
    adapters : int
        Number of adapters, of a skewed popularity. Engines that have slots for all hold all from
        the beginning; others load them as requests come.
    counted_from_ms : int
        Outcomes of requests that arrive earlier are not counted.
    """

    speeds: tuple[float, ...]
    noise: Noise = Noise()
    kinds: tuple[RequestKind, ...] = (SHORT, DEFERRED, LONG)
    seconds: int = 20
    adapters: int = 400
    counted_from_ms: int = 0
    adapter_slots: int = 8
    batch: int = 12
    changes: dict[int, tuple[float, ...]] = field(default_factory=dict)
    seed: int = 1


@dataclass(slots=True)
class _Engine:
    """One simulated engine."""

    speed: float
    slowdown: float = 1.0
    change_ms: float = 0.0
    busy_until_ms: float = 0.0
    running: int = 0
    ready_ms: dict[AdapterName, int] = field(default_factory=dict)
    copies: dict[AdapterName, None] = field(default_factory=dict)
    cached: set[tuple[str, AdapterName]] = field(default_factory=set)
    prefills: deque[tuple[float, float]] = field(default_factory=deque)

    def prefill(self, begin_ms: float, end_ms: float) -> None:
        """Count the prefill of a prompt; one that follows another at once extends its span."""
        if self.prefills and begin_ms <= self.prefills[-1][1]:
            begin_ms = self.prefills.pop()[0]
        self.prefills.append((begin_ms, end_ms))
        while self.prefills[0][1] < end_ms - KEPT_MS:
            self.prefills.popleft()

    def longest_pause_ms(self, from_ms: float, to_ms: float) -> float:
        """Longest span within which streams got no event, since prompts were processed."""
        spans = (min(end, to_ms) - max(begin, from_ms) for begin, end in self.prefills)
        return max(spans, default=0.0)


@dataclass(slots=True)
class _Run:
    """A request that was submitted."""

    req: PlaceRequest
    kind: RequestKind
    since_ms: int


class UnevenEngines:
    """Plays one load and counts what callers got.

    Parameters
    ----------
    report : callable or None
        Called with the engine's instance and the slowdown that an answer reports, when it reaches
        the leader; None reports to the placer.

    Attributes
    ----------
    outcomes : Counter
        By name of the kind and "in time", "late" first event, "paused" for longer than the pause
        objective after one in time, or "refused".
    given : list of Counter
        Requests sent to each engine, by second.
    """

    def __init__(
        self, load: UnevenLoad, report: Callable[[Placer, str, float], None] | None = None
    ) -> None:
        self._load = load
        self._report = report or _report
        self._rng = random.Random(load.seed)
        self._clock = ManualClock()
        self.placer = Placer(self._clock)
        self._engines = {f"e{n}": _Engine(speed) for n, speed in enumerate(load.speeds)}
        spec = EngineSpec(
            load.batch, 171_890, (ModelSpec(MODEL, 65_000),), 74_800, load.adapter_slots, 34
        )
        names = [AdapterName(MODEL, f"a{number}") for number in range(load.adapters)]
        held = names if len(names) <= load.adapter_slots else []
        for instance, engine in self._engines.items():
            engine.ready_ms = dict.fromkeys(held, 0)
            self.placer.engine_up(instance, "s", "dc", spec)
            report = EngineReport({MODEL: 1}, dict.fromkeys(held, 1), {}, 0)
            self.placer.engine_reported(instance, report)
        self.outcomes: Counter[tuple[str, str]] = Counter()
        self.given: list[Counter[str]] = []
        self.firsts_ms: dict[str, list[float]] = {kind.name: [] for kind in load.kinds}
        self._runs: dict[str, _Run] = {}
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        weights = [1 / rank**1.15 for rank in range(1, load.adapters + 1)]
        self._popularity = list(itertools.accumulate(weights))

    def play(self) -> UnevenEngines:
        """Simulate the whole load."""
        arrivals = list(self._arrivals())
        arrivals.sort(key=lambda one: one[0])
        position = 0
        for now_ms in range(0, self._load.seconds * 1000, STEP_MS):
            self._clock._now_ms = now_ms
            if now_ms % 1000 == 0:
                self._begin_second(now_ms)
            self._move_noise(now_ms)
            while position < len(arrivals) and arrivals[position][0] <= now_ms:
                _, kind, number = arrivals[position]
                self._submit(kind, number, now_ms)
                position += 1
            while self._due and self._due[0][0] <= now_ms:
                heapq.heappop(self._due)[2]()
            for decision in self.placer.decide():
                self._carry_out(decision, now_ms)
        return self

    def share(self, kind: str, outcome: str = "in time") -> float:
        """Part of the requests of a kind that had this outcome."""
        total = sum(count for (name, _), count in self.outcomes.items() if name == kind)
        return self.outcomes[kind, outcome] / max(total, 1)

    def given_share(self, instance: str, from_s: int = 0, to_s: int | None = None) -> float:
        """Part of all requests that one engine got in a span of seconds."""
        total: Counter[str] = Counter()
        for second in self.given[from_s:to_s]:
            total += second
        return total[instance] / max(total.total(), 1)

    def _arrivals(self) -> Any:
        numbers = itertools.count()
        for kind in self._load.kinds:
            at_ms = self._rng.expovariate(kind.per_s / 1000)
            while at_ms < self._load.seconds * 1000:
                yield at_ms, kind, next(numbers)
                at_ms += self._rng.expovariate(kind.per_s / 1000)

    def _begin_second(self, now_ms: int) -> None:
        self.given.append(Counter())
        self.placer.kinds.review(self.placer.engines.values(), now_ms)
        for engine, speed in zip(
            self._engines.values(), self._load.changes.get(now_ms, ()), strict=False
        ):
            engine.speed = speed

    def _move_noise(self, now_ms: int) -> None:
        noise = self._load.noise
        if not noise.share:
            return
        quiet_ms = noise.spell_ms * (1 - noise.share) / noise.share
        for engine in self._engines.values():
            if now_ms < engine.change_ms:
                continue
            if not engine.change_ms:
                is_slow = self._rng.random() < noise.share
            else:
                is_slow = engine.slowdown == 1
            engine.slowdown = noise.factor if is_slow else 1.0
            mean_ms = noise.spell_ms if is_slow else quiet_ms
            engine.change_ms = now_ms + max(self._rng.expovariate(1 / mean_ms), 1.0)

    def _submit(self, kind: RequestKind, number: int, now_ms: int) -> None:
        drawn = self._rng.choices(range(self._load.adapters), cum_weights=self._popularity)[0]
        name = AdapterName(MODEL, f"a{drawn}")
        parts = (
            PromptPart(f"{kind.name}-{drawn}", kind.shared_tokens),
            PromptPart(f"r{number}", kind.own_tokens),
        )
        tokens = kind.shared_tokens + kind.own_tokens
        req = PlaceRequest(
            f"g/{number}", "s", name, tokens, 70, parts, 0, kind.objective_ms, WAIT_MS, "dc",
            pause_objective_ms=PAUSE_MS,
        )  # fmt: skip
        self._runs[req.ticket] = _Run(req, kind, now_ms)
        self.placer.submit(req)

    def _carry_out(self, decision: Any, now_ms: int) -> None:
        match decision:
            case Grant(ticket, instance):
                self.given[-1][instance] += 1
                self._run(self._runs[ticket], instance, now_ms)
            case LoadAdapter(instance, adapter):
                self._begin_load(instance, adapter, now_ms)
                self.placer.table.note_taken(decision)
            case UnloadAdapter(instance, adapter):
                engine = self._engines[instance]
                engine.ready_ms.pop(adapter, None)
                engine.cached = {one for one in engine.cached if one[1] != adapter}
                engine.copies[adapter] = None
                while len(engine.copies) > STORED_COPIES:
                    engine.copies.pop(next(iter(engine.copies)))
            case Reject(ticket):
                self._count(self._runs[ticket], "refused")

    def _count(self, run: _Run, outcome: str) -> None:
        if run.since_ms >= self._load.counted_from_ms:
            self.outcomes[run.kind.name, outcome] += 1

    def _begin_load(self, instance: str, adapter: AdapterName, now_ms: int) -> None:
        engine = self._engines[instance]
        load_ms = COPY_LOAD_MS if adapter in engine.copies else LOAD_MS
        engine.copies.pop(adapter, None)
        engine.ready_ms[adapter] = now_ms + load_ms

    def _run(self, run: _Run, instance: str, now_ms: int) -> None:
        """Process the prompt, then stream; refuse it if its adapter is not loaded yet."""
        engine = self._engines[instance]
        arrived_ms = now_ms + 2 * LINK_MS
        if arrived_ms < engine.ready_ms[run.req.adapter]:
            self._at(arrived_ms + 2 * LINK_MS, lambda: self._submit_again(run))
            return
        engine.running += 1
        tokens = run.kind.own_tokens
        if (key := (run.kind.name, run.req.adapter)) not in engine.cached:
            tokens += run.kind.shared_tokens
            engine.cached.add(key)
        begin_ms = max(arrived_ms, engine.busy_until_ms)
        engine.busy_until_ms = self._work(engine, begin_ms, tokens / TOKENS_PER_MS)
        engine.prefill(begin_ms, engine.busy_until_ms)
        jitter = self._rng.lognormvariate(0, JITTER)
        first_ms = self._work(engine, engine.busy_until_ms, FIRST_MS * jitter) + LINK_MS
        first_ms += LOST_PACKET_MS if self._rng.random() < LOST_PACKETS else 0
        streamed_ms = run.kind.events * GAP_MS * (1 + GAP_GROWTH * (engine.running - 1))
        end_ms = self._work(engine, first_ms, streamed_ms)
        gap_ms = (end_ms - first_ms) / run.kind.events
        times = RunTimes(first_ms - now_ms - LINK_MS, 0.0, gap_ms)
        self._at(first_ms, lambda: self._begin_answer(run, instance, first_ms))
        self._at(end_ms + LINK_MS, lambda: self._end(run, instance, first_ms, times))

    def _submit_again(self, run: _Run) -> None:
        self.placer.release(run.req.ticket, RunOutcome.ABSENT)
        passed_ms = self._clock.now_ms() - run.since_ms
        req = replace(
            run.req,
            ticket=f"{run.req.ticket}'",
            objective_ms=max(run.kind.objective_ms - passed_ms, 0),
            wait_ms=max(WAIT_MS - passed_ms, 0),
        )
        self._runs[req.ticket] = _Run(req, run.kind, run.since_ms)
        self.placer.submit(req)

    @staticmethod
    def _work(engine: _Engine, begin_ms: float, work_ms: float) -> float:
        """Return when work ends; a spell is assumed to last to its end, and none to follow."""
        left_ms = work_ms * engine.speed
        slow_ms = max(engine.change_ms - begin_ms, 0.0)
        if engine.slowdown == 1 or not slow_ms:
            return begin_ms + left_ms
        if left_ms * engine.slowdown <= slow_ms:
            return begin_ms + left_ms * engine.slowdown
        return begin_ms + slow_ms + left_ms - slow_ms / engine.slowdown

    def _begin_answer(self, run: _Run, instance: str, first_ms: float) -> None:
        waited_ms = first_ms + LINK_MS - run.since_ms
        self.firsts_ms[run.kind.name].append(waited_ms)
        if waited_ms > run.kind.objective_ms:
            self._count(run, "late")
        slowdown = self._engines[instance].slowdown
        if slowdown >= REPORTED_FROM:
            delay_ms = LINK_MS + self._rng.uniform(0, 2 * REPORT_MS)
            self._at(first_ms + delay_ms, lambda: self._report(self.placer, instance, slowdown))

    def _end(self, run: _Run, instance: str, first_ms: float, times: RunTimes) -> None:
        engine = self._engines[instance]
        engine.running -= 1
        if first_ms + LINK_MS - run.since_ms <= run.kind.objective_ms:
            pause_ms = engine.longest_pause_ms(first_ms, self._clock.now_ms())
            self._count(run, "in time" if pause_ms <= PAUSE_MS else "paused")
        self.placer.release(run.req.ticket, RunOutcome.DONE, times)

    def _at(self, at_ms: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._due, (at_ms, next(self._order), call))


def _report(placer: Placer, instance: str, slowdown: float) -> None:
    placer.slowed.note_all({instance: slowdown})
