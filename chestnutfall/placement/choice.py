"""Weighing the engines for a request by one figure: expected ms to its first event."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from .demand import Demand
from .engine import Engine
from .load_timer import LoadTimer
from .place_option import PlaceOption
from .place_request import PlaceRequest

RUNNING_COST_MS = 2.0
"""A request beside others gets its first event later: an engine's step grows with its batch, and
prompts share it. Also spreads work over equally good engines."""
OTHER_DATA_CENTRE_MS = 4.0
"""Round trip to another data centre, and its traffic, which costs money."""
AVOIDED_MS = 5_000.0
"""An engine that failed this very request before is the last choice, but still one."""
STORE_MS = 400.0
"""What a load from the weight store costs beyond its time: the store's bandwidth is shared and
paid for. An engine that held the adapter recently is worth waiting this much for."""
MISS_HORIZON_S = 3.0
"""An evicted adapter is charged the loads it will need within this time."""


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What all engines share at the moment of a choice."""

    now_ms: int
    demand: Demand
    timer: LoadTimer
    in_transit: int
    at_full_speed: int
    wanted_version: int


def options(
    req: PlaceRequest, engines: Iterable[Engine], around: Surroundings
) -> Iterator[PlaceOption]:
    """Yield every engine that could take `req` now."""
    for engine in engines:
        usable = not req.adapter.model or req.adapter.model in engine.models
        if usable and _may_take(req, engine, around):
            option = _option(req, engine, around)
            if option is not None:
                yield option


def _may_take(req: PlaceRequest, engine: Engine, around: Surroundings) -> bool:
    return engine.has_room(req) and not engine.health.is_shunned(around.now_ms)


def _option(req: PlaceRequest, engine: Engine, around: Surroundings) -> PlaceOption | None:
    cost_ms = _cost_ms(req, engine, around)
    if not req.adapter.adapter:
        return PlaceOption(engine, cost_ms)
    held = engine.holdings.get(req.adapter)
    if held is not None:
        wait_ms = max(held.ready_ms - around.now_ms, 0)
        return PlaceOption(engine, cost_ms + wait_ms)
    if not engine.can_load_more(around.now_ms):
        return None
    recent = engine.held_recently(req.adapter)
    load_ms = around.timer.expected_ms(recent, around.in_transit, around.at_full_speed)
    cost_ms += load_ms + (0.0 if recent else STORE_MS)
    if engine.has_free_slot():
        return PlaceOption(engine, cost_ms, load_ms)
    victims = [
        (around.demand.per_s(name, around.now_ms), name) for name in engine.evictable(around.now_ms)
    ]
    if not victims:
        return None
    per_s, victim = min(victims, key=lambda one: one[0])
    regret_ms = load_ms * min(per_s * MISS_HORIZON_S, 1.0)
    return PlaceOption(engine, cost_ms + regret_ms, load_ms, victim)


def _cost_ms(req: PlaceRequest, engine: Engine, around: Surroundings) -> float:
    cost_ms = engine.read_wait_ms(around.now_ms) + engine.read_ms(req)
    cost_ms += RUNNING_COST_MS * len(engine.running)
    cost_ms += engine.health.cost_ms(around.now_ms)
    if engine.data_centre != req.data_centre:
        cost_ms += OTHER_DATA_CENTRE_MS
    if engine.instance in req.avoid:
        cost_ms += AVOIDED_MS
    return cost_ms
