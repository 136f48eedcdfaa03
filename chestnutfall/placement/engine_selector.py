"""Selects the engine for a request by its expected time to the first event, in ms."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator
from functools import cached_property

from .active_backoffs import ActiveBackoffs
from .adapter_name import AdapterName
from .demand import Demand
from .engine import Engine
from .engine_costs import STORE_COST_MS, EngineCosts, batch_wait_ms
from .load_options import NO_EVICTION, LoadOptions
from .place_option import PlaceOption
from .place_request import PlaceRequest
from .prompt_cache import Prefixes
from .service_capacity import ServiceCapacity
from .wanted_versions import WantedVersions

WAIT_MARGIN_MS = 40.0
"""Time reserved for placing a request elsewhere after it waited in vain for an engine with a copy.
The slot elsewhere may be taken by then, but another becomes idle within this time."""
ROUNDING_MS = 1e-6
"""More than the rounding errors of two sums of the same costs."""
GOOD_ENOUGH_MS = 60.0
"""An engine that holds the adapter at this cost or less is taken without considering a load
elsewhere, which takes 25 ms at least. Most requests find such an engine, which saves four fifths of
the time of a choice."""


class EngineSelector:
    """Selects among the engines of one service during one decision round.

    Parameters
    ----------
    engine_count : int or None
        Number of engines of the service, where `engines` is only a sample of them.

    Attributes
    ----------
    capacity : ServiceCapacity
        What the engines can take together.
    barred : Collection of str
        Instances that the request of the next choice may not use.
    is_known : bool
        Whether there are engines at all, also such as nothing should be sent to now.
    """

    def __init__(
        self,
        engines: Collection[Engine],
        demand: Demand,
        versions: WantedVersions,
        now_ms: int,
        engine_count: int | None = None,
    ) -> None:
        self._versions = versions
        self.is_known = bool(engines)
        self._engines = [one for one in engines if not one.is_ejected(now_ms)]
        self._backoffs = ActiveBackoffs(self._engines, now_ms)
        self._demand = demand
        self._now_ms = now_ms
        self.barred: Collection[str] = ()
        self._available: set[AdapterName] | None = None
        self._costs = EngineCosts(self._engines, self._backoffs, now_ms)
        fraction = len(engines) / engine_count if engine_count else 1.0
        self.capacity = ServiceCapacity(
            self._engines, self._backoffs, self._costs, now_ms, fraction
        )

    @cached_property
    def _least_load_ms(self) -> float:
        """Time of a load from the weight store on the engine where it takes least."""
        loads_ms = (one.load_time.expected_ms(from_copy=False) for one in self._engines)
        return min(loads_ms, default=0.0)

    @cached_property
    def _load_options(self) -> LoadOptions:
        engines = ((one, self._costs.least_with_load_ms(one)) for one in self._engines)
        return LoadOptions(engines, self._demand, self._versions, self._now_ms)

    @property
    def engines(self) -> Collection[Engine]:
        """Engines that the round considers."""
        return self._engines

    def best(
        self, req: PlaceRequest, prefixes: Prefixes, objective_ms: float
    ) -> PlaceOption | None:
        """Return the cheapest way to place `req` now, or None when it has to wait.

        Parameters
        ----------
        objective_ms : float
            Time left until its first event is late.
        """
        in_time = self.can_be_in_time(req, objective_ms)
        held = _cheapest(self._options_without_load(req, prefixes, in_time, objective_ms))
        if held is not None and held.cost_ms <= GOOD_ENOUGH_MS:
            return held
        loaded = None
        if req.adapter.adapter:
            loaded = self._best_with_load(req, in_time, objective_ms)
        if held is None and loaded is not None and self._may_wait(req, loaded, objective_ms):
            return None
        return _cheapest(one for one in (held, loaded) if one is not None)

    def _may_wait(self, req: PlaceRequest, loaded: PlaceOption, objective_ms: float) -> bool:
        """Whether to wait for an engine with the adapter or a copy, instead of a load elsewhere.

        Such an engine is usually full for some 10 ms only: one of its 16 requests ends every 25 ms,
        and an adapter becomes idle every 90 ms. A load from the store takes ten times as long as
        one from a copy, takes a slot from another adapter, and is paid for. The request therefore
        waits as long as a load elsewhere would still be in time. At 620 requests a second this
        reduces loads from the store from 0.33 to 0.25 a request, with no more late requests.
        """
        if loaded.load_ms is None or loaded.engine.likely_has_copy(req.adapter):
            return False
        spare_ms = objective_ms - loaded.load_ms - self.first_event_ms(req) - WAIT_MARGIN_MS
        return spare_ms > 0 and any(
            self._holds(engine, req.adapter) or engine.likely_has_copy(req.adapter)
            for engine in self._engines
            if req.adapter.model in engine.models
            and engine.instance not in req.avoid
            and engine.send_wait_ms(self._now_ms) <= spare_ms
            and self._backoffs.may_send(req, engine)
        )

    def first_event_ms(self, req: PlaceRequest) -> float:
        """Time from a grant to the first event, with the adapter loaded and nothing cached."""
        return self._costs.first_event_ms(req)

    def can_be_in_time(self, req: PlaceRequest, objective_ms: float) -> bool:
        """Whether the first event could come within `objective_ms` if `req` were placed now."""
        spare_ms = objective_ms - self.first_event_ms(req)
        if spare_ms < 0 or spare_ms >= self._least_load_ms:
            return spare_ms >= 0
        return not req.adapter.adapter or req.adapter in self._available_adapters()

    def _available_adapters(self) -> set[AdapterName]:
        """Adapters that some engine holds, loads or probably has a copy of."""
        if self._available is None:
            self._available = set().union(
                *(engine.holdings for engine in self._engines),
                *(engine.likely_copies for engine in self._engines),
            )
        return self._available

    def can_ever_hold(self, name: AdapterName) -> bool:
        """Whether some engine holds the adapter, or one without other adapters has room for it."""
        if not name.adapter or name in self._available_adapters():
            return True
        specs = {id(one.spec): one.spec for one in self._engines if name.model in one.models}
        return not specs or any(one.can_hold_adapter(name.model) for one in specs.values())

    def keep(self, engine: Engine) -> None:
        """Compute the costs of an engine before it is sent a prompt that has waited for its turn.

        Such a prompt is in these costs already, and its place in the queue is not given away again
        in the same round.
        """
        self._costs.standing(engine)

    def refresh(self, engine: Engine) -> None:
        """Recompute the costs of an engine that was just given a request or a load."""
        self._costs.forget(engine)
        self._costs.standing(engine)
        if "_load_options" in self.__dict__:
            self._load_options.refresh(engine, self._costs.least_with_load_ms(engine))

    def _options_without_load(
        self, req: PlaceRequest, prefixes: Prefixes, in_time: bool, objective_ms: float
    ) -> Iterator[PlaceOption]:
        """Yield the engines that hold the adapter or load it already."""
        name = req.adapter
        for engine in self._engines:
            held = engine.holdings.get(name)
            if name.adapter and (held is None or self._versions.is_outdated(name, held)):
                continue
            if not self._may_take(req, engine) or not self._costs.standing(engine)[1].admits(
                in_time
            ):
                continue
            wait_ms = max(held.ready_ms - self._now_ms, 0) if held is not None else 0
            prefill_ms = engine.prefill_ms(req, prefixes)
            if in_time and self._costs.is_too_slow(engine, wait_ms + prefill_ms, objective_ms):
                continue
            cost_ms = self._costs.cost_ms(req, engine) + prefill_ms
            yield PlaceOption(engine, cost_ms + max(wait_ms, batch_wait_ms(engine)))

    def _best_with_load(
        self, req: PlaceRequest, in_time: bool, objective_ms: float
    ) -> PlaceOption | None:
        """Return the cheapest engine that would have to load the adapter first."""
        least_prefill_ms = req.prompt_tokens * self._costs.ms_per_token
        best: tuple[tuple[float, int], PlaceOption] | None = None
        for least_ms, order, engine in self._load_options.by_cost(req.adapter):
            if best is not None and least_ms + least_prefill_ms > best[0][0] + ROUNDING_MS:
                break
            option = self._option_with_load(req, engine, in_time, objective_ms)
            if option is not None and (best is None or (option.cost_ms, order) < best[0]):
                best = (option.cost_ms, order), option
        return best[1] if best is not None else None

    def _option_with_load(
        self, req: PlaceRequest, engine: Engine, in_time: bool, objective_ms: float
    ) -> PlaceOption | None:
        """Return the cost of a load of the adapter on `engine`; None if it can't take the request.

        See Also
        --------
        EngineCosts.least_with_load_ms : The part of the cost that is the same for all requests.
        """
        if not self._costs.standing(engine)[1].admits(in_time) or not self._may_take(req, engine):
            return None
        held = engine.holdings.get(req.adapter)
        # The engine may hold an older version. It is replaced in its slot, but not while requests
        # run on it: the engine would let these end first and refuse all other loads meanwhile, for
        # seconds after a version is named.
        if held is not None and (
            not self._versions.is_outdated(req.adapter, held) or not held.is_idle(self._now_ms)
        ):
            return None
        # An adapter that is replaced by a newer version needs no more room than it has.
        eviction = self._load_options.eviction(engine, req.adapter) if held is None else NO_EVICTION
        if eviction is None:
            return None
        # An engine drops an adapter's cached prompts with it: all tokens need prefill.
        prefill_ms = engine.expected_prefill_ms(req.prompt_tokens)
        has_copy = engine.likely_has_copy(req.adapter)
        load_ms = self._costs.expected_load_ms(engine, has_copy)
        if in_time and self._costs.is_too_slow(engine, load_ms + prefill_ms, objective_ms):
            return None
        cost_ms = self._costs.cost_ms(req, engine) + prefill_ms + load_ms * eviction.reloads
        cost_ms += max(load_ms, batch_wait_ms(engine))
        if not has_copy:
            cost_ms += STORE_COST_MS
        return PlaceOption(engine, cost_ms, load_ms, eviction.victims)

    def _may_take(self, req: PlaceRequest, engine: Engine) -> bool:
        """Whether models, room, limit and backoff of the engine allow the request."""
        usable = not req.adapter.model or req.adapter.model in engine.models
        if not usable or not engine.has_room(req) or engine.send_wait_ms(self._now_ms):
            return False
        if engine.instance in self.barred:
            return False
        return self._backoffs.may_send(req, engine)

    def _holds(self, engine: Engine, name: AdapterName) -> bool:
        held = engine.holdings.get(name)
        return held is not None and not self._versions.is_outdated(name, held)


def _cheapest(options: Iterable[PlaceOption]) -> PlaceOption | None:
    return min(options, key=lambda option: option.cost_ms, default=None)
