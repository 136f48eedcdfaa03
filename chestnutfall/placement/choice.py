"""Weighing the engines for a request by one figure: expected ms to its first event."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass

from .adapter_name import AdapterName
from .backing_off import BackingOff
from .demand import Demand
from .engine import Engine
from .place_option import PlaceOption
from .place_request import PlaceRequest
from .prompt_cache import Prefixes
from .wanted_versions import WantedVersions

RUNNING_COST_MS = 2.0
"""A request beside others gets its first event later: an engine's step grows with its batch, and
prompts share it. Also spreads work over equally good engines."""
BEYOND_BATCH_MS = 200.0
"""A request that has to wait for another one to end. That is the time between two ends at an engine
of few places, several times over: those that come in between may be more urgent, and one that has a
place can't move to another engine that is free sooner."""
OTHER_DATA_CENTRE_MS = 4.0
"""Round trip to another data centre, and its traffic, which costs money."""
AVOIDED_MS = 5_000.0
"""An engine that failed this very request before, or would probably turn it away, is the last
choice, but still one."""
STORE_MS = 400.0
"""What a load from the weight store costs beyond its time: the store's bandwidth is shared and
paid for. An engine that held the adapter recently is worth waiting this much for."""
MISS_HORIZON_S = 3.0
"""An evicted adapter is charged the loads it will need within this time."""
RELAY_MS = 20.0
"""From a place at the leader to the engine, and from there to the caller, on a busy gateway."""
MARGIN_MS = 40.0
"""A place elsewhere may be taken when the wait for a copy is over; another falls idle by then."""
SURE_MS = 60.0
"""A holder that is this good is taken without weighing loads elsewhere: a load costs 25 ms at the
least, and most requests find such a holder. Saves four fifths of the time of a choice."""


@dataclass(frozen=True, slots=True)
class _Loader:
    """An engine that takes one more load, and what that drops.

    Attributes
    ----------
    victim : AdapterName or None
        The adapter that makes room; None when a place is free.
    misses : float
        Loads that the victim will soon need again, 1 at most.
    """

    engine: Engine
    victim: AdapterName | None
    misses: float


class Choice:
    """The engines of one service during one round of decisions.

    Parameters
    ----------
    of_all : int or None
        How many engines there are, where `engines` are only some of them.

    Attributes
    ----------
    starts_per_s : float
        Requests that all engines together can start in a second.
    limit_per_s : float or None
        Requests that they say they take, if each of them says so.

    What does not depend on the request is worked out once a round and engine. After an outage
    some hundred requests wait, and looking at every engine for each of them in each round takes
    the leader longer than its rounds are apart: answers to gateways then come late, and the
    gateways leave a leader that is well. `benchmarks.placement`, 245 waiting: 3.1 ms of processor
    time a request before, 0.5 ms after.
    """

    def __init__(
        self,
        engines: Collection[Engine],
        demand: Demand,
        versions: WantedVersions,
        now_ms: int,
        of_all: int | None = None,
    ) -> None:
        self._versions = versions
        self._engines = [one for one in engines if not one.health.is_shunned(now_ms)]
        part = len(engines) / of_all if of_all else 1.0
        self._backing_off = BackingOff(self._engines, now_ms)
        wanting = [one for one in self._engines if not self._backing_off.is_doubtful(one)]
        self.starts_per_s = sum(one.starts_per_s() for one in wanting) / part
        limits = [one.limit.per_s for one in wanting]
        self.limit_per_s = None if None in limits else sum(one or 0.0 for one in limits) / part
        self._demand = demand
        self._now_ms = now_ms
        self._busy_ms = {one.instance: self._busy_of(one) for one in self._engines}
        self._room = {one.instance: one.reading_room(now_ms) for one in self._engines}
        self._loaders: dict[str, _Loader] | None = None
        self._names: set[AdapterName] | None = None
        readings = [one.reading for one in self._engines]
        self._first_ms = RELAY_MS + min((one.first_ms for one in readings), default=0.0)
        self._ms_per_token = min((one.ms_per_token for one in readings), default=0.0)
        loads = (one.loads.expected_ms(recent=False) for one in self._engines)
        self._load_ms = min(loads, default=0.0)

    def best(
        self, req: PlaceRequest, prefixes: Prefixes, objective_ms: float
    ) -> PlaceOption | None:
        """The cheapest way to place `req` now; None when it has to wait.

        Parameters
        ----------
        objective_ms : float
            Time left until its first event is late.
        """
        in_time = self.can_be_in_time(req, objective_ms)
        held = _cheapest(self._as_they_are(req, prefixes, in_time))
        if held is not None and held.cost_ms <= SURE_MS:
            return held
        loaded = _cheapest(self._with_load(req, in_time)) if req.adapter.adapter else None
        if held is None and loaded is not None and self._may_wait(req, loaded, objective_ms):
            return None
        return _cheapest(one for one in (held, loaded) if one is not None)

    def _may_wait(self, req: PlaceRequest, loaded: PlaceOption, objective_ms: float) -> bool:
        """Whether to wait for an engine that has the adapter or a copy of it.

        Such an engine is full for some ten ms only: one of its 16 requests ends every 25 ms, an
        adapter falls idle every 90. A load elsewhere takes ten times as long as one from a copy,
        takes a place there from another adapter, and is paid for. So it waits as long as a load
        elsewhere would still be in time: 0.25 adapters brought from the store for each request
        instead of 0.33, and no more of them late (`benchmarks.placement`, 620 a second).
        """
        if loaded.load_ms is None or loaded.engine.held_recently(req.adapter):
            return False
        spare_ms = objective_ms - loaded.load_ms - self.first_event_ms(req) - MARGIN_MS
        return spare_ms > 0 and any(
            self._holds(engine, req.adapter) or engine.held_recently(req.adapter)
            for engine in self._engines
            if req.adapter.model in engine.models
            and engine.instance not in req.avoid
            and engine.send_wait_ms(self._now_ms) <= spare_ms
            and self._backing_off.may_send(req, engine)
        )

    def first_event_ms(self, req: PlaceRequest) -> float:
        """From a place on an engine with its adapter to the first event, read as a whole."""
        return self._first_ms + req.prompt_tokens * self._ms_per_token

    def can_be_in_time(self, req: PlaceRequest, objective_ms: float) -> bool:
        """Whether the first event could come within `objective_ms` if it had a place now."""
        spare_ms = objective_ms - self.first_event_ms(req)
        if spare_ms < 0 or spare_ms >= self._load_ms:
            return spare_ms >= 0
        return not req.adapter.adapter or req.adapter in self._at_hand()

    def _at_hand(self) -> set[AdapterName]:
        """Adapters that an engine holds, loads or has a copy of."""
        if self._names is None:
            self._names = set().union(
                *(engine.holdings for engine in self._engines),
                *(engine.recent for engine in self._engines),
            )
        return self._names

    def has_room(self, req: PlaceRequest) -> bool:
        """Whether any engine could start one more request."""
        return any(
            engine.has_room(req) and not engine.send_wait_ms(self._now_ms)
            for engine in self._engines
        )

    def next_send_ms(self) -> int:
        """Time until one of the engines takes a request by its limit."""
        waits_ms = (one.limit.wait_ms(0, self._now_ms) for one in self._engines)
        return min(waits_ms, default=0)

    def back_ms(self, req: PlaceRequest) -> float:
        """Time until the first engine wants requests of this one's gateway; 0 if one does."""
        if not self._backing_off:
            return 0.0
        model = req.adapter.model
        usable = (one for one in self._engines if not model or model in one.models)
        return self._backing_off.back_ms(req, usable)

    def changed(self, engine: Engine) -> None:
        """Look at an engine again that was just given something."""
        self._busy_ms[engine.instance] = self._busy_of(engine)
        self._room[engine.instance] = engine.reading_room(self._now_ms)
        if self._loaders is not None:
            self._loaders.pop(engine.instance, None)
            self._loaders.update(self._loaders_among([engine]))

    def _as_they_are(
        self, req: PlaceRequest, prefixes: Prefixes, in_time: bool
    ) -> Iterator[PlaceOption]:
        """Engines that hold the adapter or load it already."""
        name = req.adapter
        for engine in self._engines:
            held = engine.holdings.get(name)
            if name.adapter and (held is None or self._versions.is_outdated(name, held)):
                continue
            if not self._may_take(req, engine) or not self._room[engine.instance].takes(in_time):
                continue
            wait_ms = max(held.ready_ms - self._now_ms, 0) if held is not None else 0
            cost_ms = self._cost_ms(req, engine) + engine.read_ms(req, prefixes)
            yield PlaceOption(engine, cost_ms + max(wait_ms, _batch_wait_ms(engine)))

    def _with_load(self, req: PlaceRequest, in_time: bool) -> Iterator[PlaceOption]:
        if self._loaders is None:
            self._loaders = dict(self._loaders_among(self._engines))
        for loader in self._loaders.values():
            engine = loader.engine
            if not self._may_take(req, engine):
                continue
            victim, misses = loader.victim, loader.misses
            held = engine.holdings.get(req.adapter)
            if held is not None:
                # An older version. It is replaced in its place, but not while requests run on it:
                # the engine would let these end first, and refuse every other load meanwhile.
                # Symptom: no adapter gets to that engine for seconds after a version was named.
                if not self._versions.is_outdated(req.adapter, held) or not held.is_idle(
                    self._now_ms
                ):
                    continue
                victim, misses = None, 0.0
            if not self._room[engine.instance].takes(in_time):
                continue
            # An engine drops an adapter's prompts with it, so the whole prompt is read.
            read_ms = req.prompt_tokens * engine.reading.ms_per_token
            recent = engine.held_recently(req.adapter)
            load_ms = engine.loads.expected_ms(recent)
            cost_ms = self._cost_ms(req, engine) + read_ms + load_ms * misses
            cost_ms += max(load_ms, _batch_wait_ms(engine))
            if not recent:
                cost_ms += STORE_MS
            yield PlaceOption(engine, cost_ms, load_ms, victim)

    def _may_take(self, req: PlaceRequest, engine: Engine) -> bool:
        usable = not req.adapter.model or req.adapter.model in engine.models
        if not usable or not engine.has_room(req) or engine.send_wait_ms(self._now_ms):
            return False
        return self._backing_off.may_send(req, engine)

    def _holds(self, engine: Engine, name: AdapterName) -> bool:
        held = engine.holdings.get(name)
        return held is not None and not self._versions.is_outdated(name, held)

    def _loads_missed(self, engine: Engine, name: AdapterName) -> float:
        """Loads that an adapter will soon need again if this engine drops it, 1 at most."""
        if self._versions.is_outdated(name, engine.holdings[name]):
            return 0.0
        return min(self._demand.per_s(name, self._now_ms) * MISS_HORIZON_S, 1.0)

    def _loaders_among(self, engines: Iterable[Engine]) -> Iterator[tuple[str, _Loader]]:
        for engine in engines:
            if not engine.can_load_more(self._now_ms):
                continue
            if engine.has_free_slot():
                yield engine.instance, _Loader(engine, None, 0.0)
                continue
            victims = [
                (self._loads_missed(engine, name), self._demand.level(name, self._now_ms), name)
                for name in engine.evictable(self._now_ms)
            ]
            if victims:
                misses, _, victim = min(victims)
                yield engine.instance, _Loader(engine, victim, misses)

    def _busy_of(self, engine: Engine) -> float:
        cost_ms = engine.read_wait_ms(self._now_ms) + engine.health.cost_ms(self._now_ms)
        return cost_ms + RUNNING_COST_MS * len(engine.running)

    def _cost_ms(self, req: PlaceRequest, engine: Engine) -> float:
        """Expected time to the first event without reading and loading."""
        cost_ms = self._busy_ms[engine.instance]
        if engine.data_centre != req.data_centre:
            cost_ms += OTHER_DATA_CENTRE_MS
        if engine.instance in req.avoid or self._backing_off.is_doubtful(engine):
            cost_ms += AVOIDED_MS
        return cost_ms


def _batch_wait_ms(engine: Engine) -> float:
    return engine.beyond_batch * BEYOND_BATCH_MS


def _cheapest(options: Iterable[PlaceOption]) -> PlaceOption | None:
    return min(options, key=lambda option: option.cost_ms, default=None)
