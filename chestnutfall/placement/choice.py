"""Weighing the engines for a request by one figure: expected ms to its first event."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .demand import Demand
from .engine import Engine
from .place_option import PlaceOption
from .place_request import PlaceRequest
from .prompt_cache import Prefixes

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
SURE_MS = 60.0
"""A holder that is this good is taken without weighing loads elsewhere: a load costs 25 ms at the
least, and most requests find such a holder. Saves four fifths of the time of a choice."""


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What all engines share at the moment of a choice."""

    now_ms: int
    demand: Demand


def best_option(
    req: PlaceRequest, prefixes: Prefixes, engines: Iterable[Engine], around: Surroundings
) -> PlaceOption | None:
    """The cheapest way to place `req` now; None when no engine can take it."""
    able = [engine for engine in engines if _may_take(req, engine, around)]
    held = _cheapest(_as_it_is(req, engine, prefixes, around) for engine in able)
    if held is not None and held.cost_ms <= SURE_MS:
        return held
    loaded = _cheapest(_with_load(req, engine, prefixes, around) for engine in able)
    return _cheapest((held, loaded))


def _cheapest(options: Iterable[PlaceOption | None]) -> PlaceOption | None:
    found = (option for option in options if option is not None)
    return min(found, key=lambda option: option.cost_ms, default=None)


def _may_take(req: PlaceRequest, engine: Engine, around: Surroundings) -> bool:
    usable = not req.adapter.model or req.adapter.model in engine.models
    return usable and engine.has_room(req) and not engine.health.is_shunned(around.now_ms)


def _as_it_is(
    req: PlaceRequest, engine: Engine, prefixes: Prefixes, around: Surroundings
) -> PlaceOption | None:
    held = engine.holdings.get(req.adapter)
    if held is None and req.adapter.adapter:
        return None
    wait_ms = max(held.ready_ms - around.now_ms, 0) if held is not None else 0
    return PlaceOption(engine, _cost_ms(req, engine, prefixes, around) + wait_ms)


def _with_load(
    req: PlaceRequest, engine: Engine, prefixes: Prefixes, around: Surroundings
) -> PlaceOption | None:
    if not req.adapter.adapter or req.adapter in engine.holdings:
        return None
    if not engine.can_load_more(around.now_ms):
        return None
    recent = engine.held_recently(req.adapter)
    load_ms = engine.loads.expected_ms(recent)
    cost_ms = _cost_ms(req, engine, prefixes, around) + load_ms + (0.0 if recent else STORE_MS)
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


def _cost_ms(req: PlaceRequest, engine: Engine, prefixes: Prefixes, around: Surroundings) -> float:
    cost_ms = engine.read_wait_ms(around.now_ms) + engine.read_ms(req, prefixes)
    cost_ms += RUNNING_COST_MS * len(engine.running)
    cost_ms += engine.health.cost_ms(around.now_ms)
    if engine.data_centre != req.data_centre:
        cost_ms += OTHER_DATA_CENTRE_MS
    if engine.instance in req.avoid:
        cost_ms += AVOIDED_MS
    return cost_ms
