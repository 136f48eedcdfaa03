"""What placement serves in time, and what a decision costs the leader, as the load grows.

The pattern: engines with few adapter places each and 10,000 adapters with skewed popularity that
moves on, so that places for adapters bind before anything else; with `--engines` halved, the
seconds after an outage. Engines load an adapter from the
weight store in 288 ms, or in 29 ms if they held it recently. Nothing is sent; time is simulated.

With `--limited N` so many engines name a limit from the third second on; the last column is the
part of what they take that they were sent.

Columns: requests a second; share with a first event in time, late, and refused; grants that came
before their adapter, and adapters brought from the weight store, for each request; processor ms for
each request; longest round in ms.
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

MODEL = "base"
ADAPTERS = 10_000
SKEW = 1.15
SHIFT_MS = 250
"""How often the most popular adapter falls silent and a new one comes in."""
OBJECTIVE_MS = 500
WAIT_MS = 4_000
RUN_MS = 400
"""Mean time of an answer on its engine."""
FIRST_MS = 45
"""From a grant to the first event."""
REFUSED_MS = 6
"""From a grant to the news that the engine refused it."""
LIMITED_FROM_MS = 3_000
GAP_MS = 20
"""Between two events."""
COLD_MS, WARM_MS = 288, 29
COPIES = 40
"""Adapters that an engine keeps in its own memory beyond those it holds."""
STEP_MS = 4
"""How often the leader decides when messages keep coming."""


@dataclass(frozen=True, slots=True)
class _Asked:
    """A request and when its caller came."""

    req: PlaceRequest
    since_ms: int

    def again(self, now_ms: int) -> _Asked:
        """The same request, placed anew after an engine refused it."""
        passed_ms = now_ms - self.since_ms
        req = replace(
            self.req,
            ticket=f"{self.req.ticket}'",
            objective_ms=max(OBJECTIVE_MS - passed_ms, 0),
            wait_ms=max(WAIT_MS - passed_ms, 0),
        )
        return _Asked(req, self.since_ms)


class _Traffic:
    """Adapters drawn by popularity that moves on."""

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
class Office:
    """Engines that serve, requests that each runs at once, and its places for adapters."""

    engines: int
    batch: int
    places: int
    run_ms: int

    @property
    def spec(self) -> EngineSpec:
        """What the service says of each engine."""
        models = (ModelSpec(MODEL, 65_000),)
        return EngineSpec(self.batch, 211_000, models, 74_800, self.places, 34)


class _Engines:
    """Engines' own memories: what a load really takes."""

    def __init__(self, engines: int) -> None:
        self._copies = {f"e{n}": OrderedDict[AdapterName, None]() for n in range(engines)}
        self._held: dict[tuple[str, AdapterName], float] = {}
        self.brought = 0

    def drop(self, instance: str, adapter: AdapterName) -> None:
        copies = self._copies[instance]
        copies[adapter] = None
        copies.move_to_end(adapter)
        if len(copies) > COPIES:
            copies.popitem(last=False)

    def load(self, instance: str, adapter: AdapterName, now_ms: int) -> None:
        warm = adapter in self._copies[instance]
        self._copies[instance].pop(adapter, None)
        self.brought += not warm
        self._held[instance, adapter] = now_ms + (WARM_MS if warm else COLD_MS)

    def refuses(self, instance: str, asked: _Asked, now_ms: int) -> bool:
        """Whether the adapter is not there yet."""
        return now_ms < self._held[instance, asked.req.adapter]


@dataclass(frozen=True, slots=True)
class Limits:
    """Engines that name a limit, and how many requests a second each takes then."""

    engines: int
    per_s: float

    def begin(self, placer: Placer, book: LimitRegistry) -> None:
        """Let them name it."""
        for number in range(self.engines):
            book.update(HeardLimit(f"e{number}", self.per_s, 0), counts_sends=True)
            placer.limit_changed(f"e{number}")

    def is_one(self, instance: str) -> bool:
        """Whether an engine names a limit."""
        return int(instance[1:]) < self.engines

    def used(self, sent: int, seconds: float) -> float:
        """Part of what they take that they were sent."""
        allowed = self.engines * self.per_s * seconds
        return sent / allowed if allowed else 1.0


def play(office: Office, limits: Limits, per_s: int, seconds: int, seed: int) -> str:
    """Play a steady load; one line of the table."""
    rng = random.Random(seed)
    clock = ManualClock()
    book = LimitRegistry(clock)
    placer = Placer(clock, book)
    to_limited = 0
    for number in range(office.engines):
        placer.engine_up(f"e{number}", "s", "dc", office.spec)
        placer.engine_reported(f"e{number}", EngineReport({MODEL: 1}, {}, {}, 0))
    traffic, engines = _Traffic(rng), _Engines(office.engines)
    ending: list[tuple[float, str, RunOutcome]] = []
    refused: deque[tuple[float, str]] = deque()
    asked: dict[str, _Asked] = {}
    seen: Counter[str] = Counter()
    total = 0
    spent_s = longest_ms = 0.0
    next_ms = 0.0
    for now_ms in range(0, seconds * 1000, STEP_MS):
        clock._now_ms = now_ms
        if now_ms == LIMITED_FROM_MS:
            limits.begin(placer, book)
        if now_ms % SHIFT_MS < STEP_MS:
            traffic.shift()
        begin = time.process_time()
        while next_ms <= now_ms:
            req = traffic.draw(total)
            asked[req.ticket] = _Asked(req, now_ms)
            total += 1
            placer.submit(req)
            next_ms += rng.expovariate(per_s / 1000)
        while refused and refused[0][0] <= now_ms:
            _, ticket = refused.popleft()
            placer.release(ticket, RunOutcome.ABSENT)
            again = asked.pop(ticket).again(now_ms)
            asked[again.req.ticket] = again
            placer.submit(again.req)
            seen["early"] += 1
        while ending and ending[0][0] <= now_ms:
            _, ticket, outcome = heapq.heappop(ending)
            placer.release(ticket, outcome, RunTimes(FIRST_MS, 0.0, GAP_MS))
        decisions = list(placer.decide())
        took_s = time.process_time() - begin
        spent_s += took_s
        longest_ms = max(longest_ms, took_s * 1000)
        for decision in decisions:
            match decision:
                case Grant(ticket, instance) if engines.refuses(instance, asked[ticket], now_ms):
                    refused.append((now_ms + REFUSED_MS, ticket))
                case Grant(ticket, instance):
                    to_limited += limits.is_one(instance) and now_ms >= LIMITED_FROM_MS
                    first_ms = now_ms + FIRST_MS - asked[ticket].since_ms
                    seen["in time" if first_ms <= OBJECTIVE_MS else "late"] += 1
                    end_ms = now_ms + rng.uniform(0.5, 1.5) * office.run_ms
                    heapq.heappush(ending, (end_ms, ticket, RunOutcome.DONE))
                case LoadAdapter(instance, adapter):
                    engines.load(instance, adapter, now_ms)
                    placer.order_taken(decision)
                case UnloadAdapter(instance, adapter):
                    engines.drop(instance, adapter)
                case Reject():
                    seen["refused"] += 1
                case _:
                    raise AssertionError("the engines hold their model")
    total = max(total, 1)
    shares = " ".join(
        f"{seen[key] / total:8.3f}" for key in ("in time", "late", "refused", "early")
    )
    cost = f"{engines.brought / total:8.3f} {spent_s * 1000 / total:8.3f} {longest_ms:8.1f}"
    used = limits.used(to_limited, seconds - LIMITED_FROM_MS / 1000)
    return f"{per_s:6d} {shares} {cost} {used:8.3f}"


def main() -> None:
    """Print one line for each rate."""
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
    args = cli.parse_args()
    limits = Limits(args.limited, args.limit)
    office = Office(args.engines, args.batch, args.places, args.run_ms)
    print(" per s  in time     late  refused    early  brought   cpu ms  longest     used")
    for per_s in args.rates:
        print(play(office, limits, per_s, args.seconds, args.seed))


if __name__ == "__main__":
    main()
