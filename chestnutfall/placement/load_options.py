"""Engines that take one more load in a decision round, and what each of them evicts for it."""

from __future__ import annotations

import bisect
import itertools
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from .adapter_name import AdapterName
from .adapter_room import AdapterRoom
from .demand import Demand, level_per_s
from .engine import Engine
from .wanted_versions import WantedVersions

RELOAD_HORIZON_S = 3.0
"""An evicted adapter is charged for the loads that it is expected to need within this time."""


@dataclass(frozen=True, slots=True)
class Eviction:
    """What an engine evicts for one more load.

    Attributes
    ----------
    victims : tuple of AdapterName
        The adapters to evict; empty when there is room.
    reloads : float
        Expected loads of the victims in the near future, at most 1 for each.
    """

    victims: tuple[AdapterName, ...]
    reloads: float


NO_EVICTION = Eviction((), 0.0)
_Option = tuple[float, int, Engine]
_Victim = tuple[float, float, AdapterName]
"""Expected reloads, demand and name, so that the adapter that is missed least sorts first."""


def _cost_and_order(option: _Option) -> tuple[float, int]:
    return option[:2]


class LoadOptions:
    """The engines of one service that take one more load, by what it costs there at least.

    After an outage hundreds of requests need a load in one round. Each of them is tried on the
    cheapest engines only, and what an engine would evict is determined when it is first asked for.

    Parameters
    ----------
    engines : iterable of tuple
        Engines, with the cost of a load there without what depends on the request and the eviction.
    """

    def __init__(
        self,
        engines: Iterable[tuple[Engine, float]],
        demand: Demand,
        versions: WantedVersions,
        now_ms: int,
    ) -> None:
        self._demand = demand
        self._versions = versions
        self._now_ms = now_ms
        self._orders = itertools.count()
        self._options: dict[str, _Option] = {}
        self._evictions: dict[str, dict[float, Eviction | None]] = {}
        for engine, least_cost_ms in engines:
            self._add(engine, least_cost_ms)
        self._sorted = sorted(self._options.values(), key=_cost_and_order)

    def _add(self, engine: Engine, least_cost_ms: float) -> _Option | None:
        if not engine.can_load_more(self._now_ms):
            return None
        option = (least_cost_ms, next(self._orders), engine)
        self._options[engine.instance] = option
        return option

    def refresh(self, engine: Engine, least_cost_ms: float) -> None:
        """Look again at an engine that was given work; among equals it now comes last."""
        self._evictions.pop(engine.instance, None)
        before = self._options.pop(engine.instance, None)
        if before is not None:
            del self._sorted[bisect.bisect_left(self._sorted, before[:2], key=_cost_and_order)]
        option = self._add(engine, least_cost_ms)
        if option is not None:
            bisect.insort(self._sorted, option, key=_cost_and_order)

    def by_cost(self, adapter: AdapterName) -> Iterator[_Option]:
        """Yield least cost, order among equals and engine, by least cost.

        Engines that hold the adapter or a copy come first, with no bound on their cost; they come
        once more among the others.
        """
        for _, order, engine in self._sorted:
            if adapter in engine.holdings or engine.likely_has_copy(adapter):
                yield 0.0, order, engine
        yield from self._sorted

    def eviction(self, engine: Engine, adapter: AdapterName) -> Eviction | None:
        """Return what the engine evicts for an adapter; None if it can't make room for it."""
        by_size = self._evictions.setdefault(engine.instance, {})
        adapter_mb = engine.spec.adapter_mb(adapter.model)
        if adapter_mb not in by_size:
            by_size[adapter_mb] = self._cheapest_eviction(engine, adapter_mb)
        return by_size[adapter_mb]

    def _cheapest_eviction(self, engine: Engine, adapter_mb: float) -> Eviction | None:
        room = engine.adapter_room()
        if room.fits(adapter_mb):
            return NO_EVICTION
        victims = [
            (self._expected_reloads(engine, name, level), level, name)
            for name in engine.evictable(self._now_ms)
            for level in (self._demand.level(name, self._now_ms),)
        ]
        chosen: list[_Victim] = []
        for victim in sorted(victims):
            chosen.append(victim)
            room = room.without(engine.spec.adapter_mb(victim[2].model))
            if room.fits(adapter_mb):
                return _needed(engine, chosen, room, adapter_mb)
        return None

    def _expected_reloads(self, engine: Engine, name: AdapterName, level: float) -> float:
        """Expected loads of an adapter in the near future if this engine evicts it, at most 1."""
        if self._versions.is_outdated(name, engine.holdings[name]):
            return 0.0
        return min(level_per_s(level) * RELOAD_HORIZON_S, 1.0)


def _needed(
    engine: Engine, chosen: list[_Victim], room: AdapterRoom, adapter_mb: float
) -> Eviction:
    """Return the eviction of those of `chosen` without which an adapter would not fit.

    A large victim can free so much that smaller ones which were chosen before it may stay.

    Parameters
    ----------
    room : AdapterRoom
        What is left once all of them are evicted.
    """
    needed: list[_Victim] = []
    for victim in reversed(chosen):
        kept = room.taken(engine.spec.adapter_mb(victim[2].model))
        if kept.fits(adapter_mb):
            room = kept
        else:
            needed.append(victim)
    needed.reverse()
    return Eviction(tuple(name for _, _, name in needed), sum(reloads for reloads, _, _ in needed))
