"""What each class of requests is served in several orders of the queue.

Urgent, deferred and long requests compete for engines with too little room, and callers that are
refused return once. Columns: share of each class that begins in time, and that is served at all;
processor ms of leader and simulation for each request.
"""

from __future__ import annotations

import contextlib
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from unittest import mock

from chestnutfall.placement.class_floor import ClassFloor
from chestnutfall.placement.long_prompts import LongPrompts
from chestnutfall.placement.waiting_request import WaitingRequest
from chestnutfall.tests.fakes.class_office import (
    DEFERRED,
    LONG,
    PREFILL_PER_S,
    URGENT,
    Arrivals,
    ClassOffice,
    ClassResult,
    usual_mix,
)

ENGINES, BATCH, SMALL_BATCH = 4, 64, 6
SEEDS = (1, 2)
WARM_UP_MS, UNTIL_MS = 1_500, 7_500
SMALL_BATCH_PER_S = ENGINES * SMALL_BATCH * 1_000 / 320
"""Requests of 320 ms that small batches can run."""


@dataclass(frozen=True, slots=True)
class Load:
    """A load on the engines of one service.

    Attributes
    ----------
    waiting : int
        Requests that wait when it begins, as after an outage.
    """

    name: str
    arrivals: tuple[Arrivals, ...]
    batch: int = BATCH
    waiting: int = 0


def _burst(kind: Arrivals) -> tuple[Arrivals, ...]:
    return (*usual_mix(ENGINES, 0.8), kind)


LOADS = (
    *(Load(f"mix at {load}", tuple(usual_mix(ENGINES, load))) for load in (0.9, 1.2, 1.5)),
    Load(
        "two classes at 1.5",
        (
            Arrivals(URGENT, 1.05 * SMALL_BATCH_PER_S),
            Arrivals(DEFERRED, 0.45 * SMALL_BATCH_PER_S),
        ),
        SMALL_BATCH,
    ),
    Load("long burst", _burst(Arrivals(LONG, 0.1 * ENGINES * PREFILL_PER_S, WARM_UP_MS))),
    Load(
        "deferred at 2.4",
        (
            *usual_mix(ENGINES, 0.95),
            Arrivals(DEFERRED, 0.088 * ENGINES * PREFILL_PER_S, WARM_UP_MS),
        ),
    ),
    Load("outage", tuple(usual_mix(ENGINES, 0.7)), waiting=400),
)


def _earliest_deadline(waiting: WaitingRequest, in_time: bool) -> tuple[bool, int, float, int]:
    due_ms = waiting.req.objective_ms if in_time else waiting.req.wait_ms
    return not in_time, 0, 0.0, waiting.since_ms + due_ms


def _no_classes(_floor: ClassFloor, _service: str) -> bool:
    return False


def _nothing_owed(_floor: ClassFloor, _service: str, _now_ms: int) -> dict[int, int]:
    return {}


def _none_barred(*_: object) -> tuple[str, ...]:
    return ()


@dataclass(frozen=True, slots=True)
class Way:
    """An order of the queue, by what of the product is replaced."""

    name: str
    replaced: tuple[tuple[type, str, Callable[..., object]], ...] = ()


_NO_FLOORS = (ClassFloor, "owed", _nothing_owed)
WAYS = (
    Way("one queue", ((ClassFloor, "has_classes", _no_classes),)),
    Way("earliest deadline", (_NO_FLOORS, (WaitingRequest, "sort_key", _earliest_deadline))),
    Way("no floors", (_NO_FLOORS,)),
    Way("no bound on long", ((LongPrompts, "barred", _none_barred),)),
    Way("as it is"),
)


def _play(load: Load, seed: int) -> dict[str, ClassResult]:
    office = ClassOffice(ENGINES, load.batch, seed)
    for at in range(load.waiting):
        kind = LONG if at % 40 == 0 else DEFERRED if at % 15 == 0 else URGENT
        office.submit(replace(kind, name="waiting"))
    warm_up_ms = 0 if load.waiting else WARM_UP_MS
    return office.play(load.arrivals, UNTIL_MS, warm_up_ms)


def _row(load: Load, way: Way) -> str:
    sums: dict[str, ClassResult] = {}
    started_s = time.process_time()
    with contextlib.ExitStack() as stack:
        for owner, name, substitute in way.replaced:
            stack.enter_context(mock.patch.object(owner, name, substitute))
        for seed in SEEDS:
            for name, result in _play(load, seed).items():
                total = sums.setdefault(name, ClassResult())
                total.asked += result.asked
                total.in_time += result.in_time
                total.late += result.late
    spent_ms = (time.process_time() - started_s) * 1_000
    cells = (
        f"{one.in_time_share:.3f} {one.served_share:.3f}" if one is not None else " " * 11
        for one in map(sums.get, ("urgent", "deferred", "long", "waiting"))
    )
    asked = sum(one.asked for one in sums.values())
    return f"{load.name:18s}  {way.name:17s}  {'   '.join(cells)}  {spent_ms / asked:7.2f}"


def print_table() -> None:
    """Print a row for each load and way."""
    heads = "".join(f"{head:14s}" for head in ("urgent", "deferred", "long", "waiting"))
    print(f"{'load':18s}  {'order':17s}  {heads} cpu ms")
    for load in LOADS:
        for way in WAYS:
            print(_row(load, way), flush=True)
