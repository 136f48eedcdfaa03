"""Requests served in time, and the leader's processor time per placement, as the load grows.

Engines with few adapter slots serve 10,000 adapters whose skewed popularity shifts, so that adapter
slots run out before any other resource. Half as many `--engines` give the seconds after an outage.
Engines load an adapter from the weight store in 288 ms, or in 29 ms if they held it recently.
Nothing is sent; time is simulated.

With `--limited N`, N engines declare a limit after the first three seconds; the last column is the
number of requests sent to them, as a fraction of what they accept.

With `--classes`, classes of requests compete for too little room instead; see `class_ways`.

Columns: requests per second; fraction of them with the first event in time, late, and refused;
grants that arrived before the adapter was loaded, and loads from the weight store, per request; the
fewest such loads with the memory of all engines as one store (Bélády); processor ms per request;
longest round of decisions in ms.
"""

from __future__ import annotations

import argparse
import bisect
import heapq
import itertools
import random
import time
from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, replace

from chestnutfall.clock import ManualClock
from chestnutfall.limits.limit_registry import LimitRegistry
from chestnutfall.limits.messages import HeardLimit
from chestnutfall.placement import (
    AdapterName,
    EngineReport,
    Grant,
    LoadAdapter,
    PlaceRequest,
    Reject,
    RunOutcome,
    UnloadAdapter,
)
from chestnutfall.placement.place_request import PromptPart
from chestnutfall.placement.placer import Placer
from chestnutfall.placement.run_times import RunTimes
from chestnutfall.routes import EngineSpec, ModelSpec

from . import class_ways
from .belady import fewest_loads

MODEL = "base"
ADAPTERS = 10_000
SKEW = 1.15
SHIFT_MS = 250
"""How often the most popular adapter moves to the last rank and all others move up."""
OBJECTIVE_MS = 500
WAIT_MS = 4_000
RUN_MS = 400
"""Mean time that an answer takes on its engine."""
FIRST_MS = 45
"""Time from a grant to the first event."""
REFUSED_MS = 6
"""Time from a grant to the engine's refusal of the request."""
LIMITED_FROM_MS = 3_000
GAP_MS = 20
"""Time between two events."""
COLD_MS, WARM_MS = 288, 29
MAX_WARM_ADAPTERS = 40
"""Adapters that an engine keeps in memory after unloading them, so that they load fast."""
STEP_MS = 4
"""How often the leader decides while messages keep arriving."""


@dataclass(frozen=True, slots=True)
class _PendingRequest:
    """A request and the time at which it arrived."""

    req: PlaceRequest
    since_ms: int

    def resubmitted(self, now_ms: int) -> _PendingRequest:
        """Return the request to submit after an engine refused it, with the time that is left."""
        passed_ms = now_ms - self.since_ms
        req = replace(
            self.req,
            ticket=f"{self.req.ticket}'",
            objective_ms=max(OBJECTIVE_MS - passed_ms, 0),
            wait_ms=max(WAIT_MS - passed_ms, 0),
        )
        return _PendingRequest(req, self.since_ms)


class _Traffic:
    """Requests for adapters drawn by a popularity that shifts."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._order = list(range(ADAPTERS))
        weights = (1 / rank**SKEW for rank in range(1, ADAPTERS + 1))
        self._sums = list(itertools.accumulate(weights))

    def shift(self) -> None:
        self._order.append(self._order.pop(0))

    def draw(self, number: int) -> PlaceRequest:
        rank = bisect.bisect(self._sums, self._rng.random() * self._sums[-1])
        adapter = f"a{self._order[min(rank, ADAPTERS - 1)]}"
        parts = (PromptPart(f"p{adapter}", 155), PromptPart(f"r{number}", 491))
        name = AdapterName(MODEL, adapter)
        return PlaceRequest(f"t{number}", "s", name, 646, 70, parts, 0, OBJECTIVE_MS, WAIT_MS, "dc")


@dataclass(frozen=True, slots=True)
class Deployment:
    """Number and capacity of the engines.

    Attributes
    ----------
    batch : int
        Requests that an engine runs at once.
    adapter_slots : int
        Adapter slots of an engine.
    run_ms : int
        Mean time of an answer.
    """

    engines: int
    batch: int
    adapter_slots: int
    run_ms: int

    @property
    def adapters_in_memory(self) -> int:
        """Adapters that all engines together can have without a load from the weight store."""
        return self.engines * (self.adapter_slots + MAX_WARM_ADAPTERS)

    @property
    def spec(self) -> EngineSpec:
        """The capacity of each engine, as the service declares it."""
        models = (ModelSpec(MODEL, 65_000),)
        return EngineSpec(self.batch, 211_000, models, 74_800, self.adapter_slots, 34)


class _SimulatedEngines:
    """Simulates how long each load takes, by the adapters that engines still have in memory."""

    def __init__(self, engines: int) -> None:
        self._warm = {f"e{n}": OrderedDict[AdapterName, None]() for n in range(engines)}
        self._loaded_at_ms: dict[tuple[str, AdapterName], float] = {}
        self.store_loads = 0

    def unload(self, instance: str, adapter: AdapterName) -> None:
        warm_adapters = self._warm[instance]
        warm_adapters[adapter] = None
        warm_adapters.move_to_end(adapter)
        if len(warm_adapters) > MAX_WARM_ADAPTERS:
            warm_adapters.popitem(last=False)

    def load(self, instance: str, adapter: AdapterName, now_ms: int) -> None:
        warm = adapter in self._warm[instance]
        self._warm[instance].pop(adapter, None)
        self.store_loads += not warm
        self._loaded_at_ms[instance, adapter] = now_ms + (WARM_MS if warm else COLD_MS)

    def refuses(self, instance: str, request: _PendingRequest, now_ms: int) -> bool:
        """Whether the adapter of a request is not yet loaded."""
        return now_ms < self._loaded_at_ms[instance, request.req.adapter]


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """Number of engines that declare a limit, and requests per second that each accepts then."""

    engines: int
    per_s: float

    def report(self, placer: Placer, limit_registry: LimitRegistry) -> None:
        """Report the limits to the leader."""
        for number in range(self.engines):
            limit_registry.update(HeardLimit(f"e{number}", self.per_s, 0), counts_sends=True)
            placer.limit_changed(f"e{number}")

    def is_limited(self, instance: str) -> bool:
        """Whether an engine declares a limit."""
        return int(instance[1:]) < self.engines

    def used(self, sent: int, seconds: float) -> float:
        """Return the requests sent to these engines, as a fraction of what they accept."""
        allowed = self.engines * self.per_s * seconds
        return sent / allowed if allowed else 1.0


def simulate(
    deployment: Deployment, limits: EngineLimits, per_s: int, seconds: int, seed: int
) -> str:
    """Simulate a steady load and return a row of the table."""
    rng = random.Random(seed)
    clock = ManualClock()
    limit_registry = LimitRegistry(clock)
    placer = Placer(clock, limit_registry)
    sent_to_limited = 0
    for number in range(deployment.engines):
        placer.engine_up(f"e{number}", "s", "dc", deployment.spec)
        placer.engine_reported(f"e{number}", EngineReport({MODEL: 1}, {}, {}, 0))
    traffic, engines = _Traffic(rng), _SimulatedEngines(deployment.engines)
    ending: list[tuple[float, str, RunOutcome]] = []
    refused: deque[tuple[float, str]] = deque()
    pending: dict[str, _PendingRequest] = {}
    outcomes: Counter[str] = Counter()
    asked: list[AdapterName] = []
    total = 0
    spent_s = longest_ms = 0.0
    next_ms = 0.0
    for now_ms in range(0, seconds * 1000, STEP_MS):
        clock._now_ms = now_ms
        if now_ms == LIMITED_FROM_MS:
            limits.report(placer, limit_registry)
        if now_ms % SHIFT_MS < STEP_MS:
            traffic.shift()
        started_s = time.process_time()
        while next_ms <= now_ms:
            req = traffic.draw(total)
            pending[req.ticket] = _PendingRequest(req, now_ms)
            asked.append(req.adapter)
            total += 1
            placer.submit(req)
            next_ms += rng.expovariate(per_s / 1000)
        while refused and refused[0][0] <= now_ms:
            _, ticket = refused.popleft()
            placer.release(ticket, RunOutcome.ABSENT)
            resubmitted = pending.pop(ticket).resubmitted(now_ms)
            pending[resubmitted.req.ticket] = resubmitted
            placer.submit(resubmitted.req)
            outcomes["early"] += 1
        while ending and ending[0][0] <= now_ms:
            _, ticket, outcome = heapq.heappop(ending)
            placer.release(ticket, outcome, RunTimes(FIRST_MS, 0.0, GAP_MS))
        decisions = list(placer.decide())
        took_s = time.process_time() - started_s
        spent_s += took_s
        longest_ms = max(longest_ms, took_s * 1000)
        for decision in decisions:
            match decision:
                case Grant(ticket, instance) if engines.refuses(instance, pending[ticket], now_ms):
                    refused.append((now_ms + REFUSED_MS, ticket))
                case Grant(ticket, instance):
                    sent_to_limited += limits.is_limited(instance) and now_ms >= LIMITED_FROM_MS
                    first_ms = now_ms + FIRST_MS - pending[ticket].since_ms
                    outcomes["in time" if first_ms <= OBJECTIVE_MS else "late"] += 1
                    end_ms = now_ms + rng.uniform(0.5, 1.5) * deployment.run_ms
                    heapq.heappush(ending, (end_ms, ticket, RunOutcome.DONE))
                case LoadAdapter(instance, adapter):
                    engines.load(instance, adapter, now_ms)
                    placer.table.note_taken(decision)
                case UnloadAdapter(instance, adapter):
                    engines.unload(instance, adapter)
                case Reject():
                    outcomes["refused"] += 1
                case _:
                    raise AssertionError("the engines hold their model")
    total = max(total, 1)
    shares = " ".join(
        f"{outcomes[key] / total:8.3f}" for key in ("in time", "late", "refused", "early")
    )
    least = fewest_loads(asked, deployment.adapters_in_memory) / total
    loads = f"{engines.store_loads / total:8.3f} {least:8.3f}"
    cost = f"{spent_s * 1000 / total:8.3f} {longest_ms:8.1f}"
    used = limits.used(sent_to_limited, seconds - LIMITED_FROM_MS / 1000)
    return f"{per_s:6d} {shares} {loads} {cost} {used:8.3f}"


def main() -> None:
    """Print a row for each rate."""
    cli = argparse.ArgumentParser(prog="placement", description=__doc__)
    cli.add_argument("--seconds", type=int, default=12)
    cli.add_argument("--seed", type=int, default=7)
    cli.add_argument("--engines", type=int, default=28)
    cli.add_argument("--batch", type=int, default=16, help="requests that an engine runs at once")
    cli.add_argument("--places", type=int, default=8, help="an engine's places for adapters")
    cli.add_argument("--rates", type=int, nargs="+", default=[300, 440, 540, 620, 750])
    cli.add_argument("--run-ms", type=int, default=RUN_MS, help="mean time of an answer")
    cli.add_argument("--limited", type=int, default=0, help="engines that name a limit")
    cli.add_argument("--limit", type=float, default=6.0, help="requests a second of each of them")
    cli.add_argument("--classes", action="store_true", help="compare orders of several classes")
    args = cli.parse_args()
    if args.classes:
        class_ways.print_table()
        return
    limits = EngineLimits(args.limited, args.limit)
    deployment = Deployment(args.engines, args.batch, args.places, args.run_ms)
    print(" per s  in time     late  refused    early  brought    least   cpu ms  longest     used")
    for per_s in args.rates:
        print(simulate(deployment, limits, per_s, args.seconds, args.seed))


if __name__ == "__main__":
    main()
