"""The engines of all services, and what their orders and reports make of them."""

from __future__ import annotations

from collections.abc import Iterator

from ..clock import Clock
from ..limits.limit_registry import LimitRegistry
from ..routes import EngineSpec
from ..signals.backoff_registry import BackoffRegistry
from .decisions import LoadAdapter, LoadModel, Order, UnloadAdapter
from .demand import Demand
from .engine import Engine
from .engine_kinds import EngineKinds
from .engine_report import EngineReport
from .holder_index import HolderIndex
from .ready_adapter import ReadyAdapter
from .wanted_versions import WantedVersions


class EngineTable:
    """Holds the engines, and applies what is learned of them to their state.

    Attributes
    ----------
    by_instance : dict of str to Engine
        All engines.
    kinds : EngineKinds
        Learned figures of the engines of each service.
    index : HolderIndex
        Engines by the adapters that they hold.
    """

    def __init__(
        self,
        clock: Clock,
        limits: LimitRegistry,
        backoffs: BackoffRegistry,
        demand: Demand,
        versions: WantedVersions,
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._backoffs = backoffs
        self._demand = demand
        self._versions = versions
        self.by_instance: dict[str, Engine] = {}
        self.kinds = EngineKinds()
        self.index = HolderIndex(self.by_instance)

    def add(
        self, instance: str, service: str, data_centre: str, spec: EngineSpec, build_key: str
    ) -> None:
        """Add a new engine, or replace the spec of a known one.

        Parameters
        ----------
        build_key : str
            Identifies its software; only needed where a service has several.
        """
        known = self.by_instance.get(instance)
        if known is not None:
            known.spec = spec
            return
        kind, speed = self.kinds.of(service), self.kinds.prefill_speed_of(service)
        store = self.kinds.store_times_of(service)
        limit, backoff = self._limits.ensure(instance), self._backoffs.ensure(instance)
        self.by_instance[instance] = Engine(
            instance,
            service,
            data_centre,
            spec,
            kind,
            speed,
            store,
            limit,
            backoff,
            self.kinds.usual_gap_of(service),
            build_key,
        )

    def note_report(self, engine: Engine, report: EngineReport) -> None:
        """Apply an engine's own report of its contents."""
        now_ms = self._clock.now_ms()
        engine.apply_report(report, now_ms)
        for name in engine.holdings:
            self.index.add(name, engine.instance)
            self._demand.note_held(name, now_ms)

    def note_taken(self, order: LoadAdapter) -> None:
        """Record that an engine accepted a load now, maybe some time after the order."""
        engine = self.by_instance.get(order.instance)
        held = engine.holdings.get(order.adapter) if engine is not None else None
        if held is not None and not held.ordered:
            held.ordered = True
            held.ordered_ms = self._clock.now_ms()
            held.ready_ms = int(held.ordered_ms + held.expected_ms)

    def note_failed(self, engine: Engine, order: Order) -> None:
        """Record that an order may not have taken effect; the engine's report is needed next."""
        engine.synced = False
        match order:
            case LoadModel():
                engine.loading_model = ""
            case LoadAdapter(adapter=adapter):
                engine.holdings.pop(adapter, None)
            case UnloadAdapter():
                pass

    def ready(self) -> Iterator[ReadyAdapter]:
        """Adapters that requests may run on now."""
        now_ms = self._clock.now_ms()
        for engine in self.by_instance.values():
            for name, held in engine.holdings.items():
                if held.is_ready(now_ms) and not self._versions.is_outdated(name, held):
                    yield ReadyAdapter(engine.instance, name, held.version)

    def unsynced(self) -> Iterator[str]:
        """Engines whose report must be read before any load is ordered there."""
        return (engine.instance for engine in self.by_instance.values() if not engine.synced)
