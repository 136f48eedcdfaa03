"""Queues requests for all engines, and decides the loads of their adapters."""

from __future__ import annotations

from collections.abc import Iterator

from ..clock import Clock
from ..limits.limit_registry import LimitRegistry
from ..quota.fair_share import FairShare
from ..routes import EngineSpec
from ..signals.backoff_registry import BackoffRegistry
from .adapter_name import AdapterName
from .assignments import Assignments
from .awaited_load import only_awaits_load
from .build_reservations import BuildReservations
from .decisions import Decision, LoadAdapter, Order
from .demand import Demand
from .engine_report import EngineReport
from .engine_table import EngineTable
from .granted_places import GrantedPlaces
from .model_loads import ModelLoads
from .place_request import PlaceRequest
from .queue import Queue
from .queue_rounds import QueueRounds
from .refusals import Refusals
from .request_classes import RequestClasses
from .request_decisions import RequestDecisions
from .request_order import in_order
from .run_outcome import RunOutcome
from .run_times import NO_TIMES, RunTimes
from .slowed_engines import SlowedEngines
from .suspect_parts import SuspectParts
from .waiting_request import WaitingRequest
from .waiting_requests import WaitingRequests
from .wanted_versions import WantedVersions


class Placer:
    """Places requests on engines and decides which adapters they load.

    It sends nothing: its user carries out what `decide` yields, and reports back what became of it.

    Attributes
    ----------
    table : EngineTable
        The engines, and what their orders and reports make of them.
    engines : dict of str to Engine
        Engines by instance.
    kinds : EngineKinds
        Learned figures of the engines of each service.
    slowed : SlowedEngines
        Takes the slowdowns that engines report.
    suspects : SuspectParts
        Parts of prompts that may end the engines that write on them.
    """

    def __init__(
        self,
        clock: Clock,
        limits: LimitRegistry | None = None,
        backoffs: BackoffRegistry | None = None,
    ) -> None:
        self._clock = clock
        self._demand = Demand()
        self._versions = WantedVersions()
        self.table = EngineTable(
            clock,
            limits or LimitRegistry(clock),
            backoffs or BackoffRegistry(clock),
            self._demand,
            self._versions,
        )
        self.engines = self.table.by_instance
        self.kinds = self.table.kinds
        self.slowed = SlowedEngines(self.engines, clock)
        self._waiting = WaitingRequests()
        self._model_loads = ModelLoads()
        self._classes = RequestClasses()
        self._shares = FairShare()
        self._reservations = BuildReservations()
        self.suspects = SuspectParts()
        self._places = GrantedPlaces(self.engines, self.suspects, clock)
        self._rounds = QueueRounds(self.table, self._demand, self._versions, self._classes)
        self._assignments = Assignments(
            self.table, self._waiting, self._versions, self._shares, self.suspects, self._classes
        )
        self._decisions = RequestDecisions(
            self.engines,
            self._waiting,
            self._assignments,
            self._places,
            self._rounds,
            Refusals(clock),
            self._versions,
            self.suspects,
            self._classes,
        )

    # Engines

    def engine_up(
        self,
        instance: str,
        service: str,
        data_centre: str,
        spec: EngineSpec,
        build_key: str = "",
    ) -> None:
        """Add a new engine, or replace the spec of a known one.

        Parameters
        ----------
        build_key : str
            Identifies its software; only needed where a service has several.
        """
        self.table.add(instance, service, data_centre, spec, build_key)

    def engine_down(self, instance: str) -> None:
        """Remove an engine; requests that wait for its loads are placed anew."""
        engine = self.engines.pop(instance, None)
        if engine is None:
            return
        self._places.drop_engine(engine)
        for waiting in self._waiting.at(instance):
            self._waiting.assign(waiting, "")

    def engine_reported(self, instance: str, report: EngineReport) -> None:
        """Apply an engine's own report of its contents."""
        engine = self.engines.get(instance)
        if engine is None:
            return
        self.table.note_report(engine, report)
        for waiting in self._waiting.at(instance):
            if waiting.req.adapter not in engine.holdings:
                self._assignments.clear(waiting)

    def limit_changed(self, instance: str) -> None:
        """Place anew the requests that wait for an engine whose limit changed."""
        for waiting in self._waiting.at(instance):
            self._assignments.clear(waiting)

    def order_failed(self, order: Order) -> None:
        """Record that an order may not have taken effect; the engine's report is needed next."""
        engine = self.engines.get(order.instance)
        if engine is None:
            return
        self.table.note_failed(engine, order)
        if isinstance(order, LoadAdapter):
            for waiting in self._waiting.at(order.instance):
                if waiting.req.adapter == order.adapter:
                    self._assignments.clear(waiting)

    def name_version(self, adapter: AdapterName, version: int) -> None:
        """Require this version of the adapter, or a newer one, for all requests from now on."""
        self._versions.name(adapter, version)

    # Requests

    def submit(self, req: PlaceRequest, build_key: str = "") -> None:
        """Queue a request.

        Parameters
        ----------
        build_key : str
            Software that the engine must run, as the request goes on with a stream; empty for any.
        """
        now_ms = self._clock.now_ms()
        if build_key:
            self._reservations.note_submitted(Queue(req.service, build_key), now_ms)
        self._demand.note(req.adapter, now_ms)
        self._classes.note_submitted(req, now_ms)
        tag = self._shares.tag(req.organisation, req.prompt_tokens + req.output_tokens)
        self._waiting.add(WaitingRequest(req, now_ms, tag=tag, build_key=build_key))

    def withdraw(self, ticket: str) -> None:
        """Drop a request, whether it waits or has a place."""
        waiting = self._waiting.get(ticket)
        if waiting is not None:
            self._assignments.clear(waiting)
            self._waiting.remove(waiting)
        self.release(ticket, RunOutcome.WITHDRAWN)

    def release(self, ticket: str, outcome: RunOutcome, times: RunTimes = NO_TIMES) -> None:
        """Free a granted place after its request ended with `outcome`."""
        self._places.release(ticket, outcome, times)

    def note_silent(self, ticket: str) -> None:
        """Count the silence of an engine as a failure; its request keeps its place."""
        engine = self.engines.get(self._places.instance_of(ticket))
        if engine is not None:
            engine.health.note(RunOutcome.BROKEN, self._clock.now_ms())

    def adopt(self, req: PlaceRequest, instance: str) -> None:
        """Count a request that runs on an engine, placed by the last leader or without one."""
        engine = self.engines.get(instance)
        if engine is None or req.ticket in self._places or req.ticket in self._waiting:
            return
        self._places.adopt(req, engine)

    def instance_of(self, ticket: str) -> str:
        """The engine of the place that the ticket holds; empty when it holds none."""
        return self._places.instance_of(ticket)

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return len(self._waiting)

    # Decisions

    def decide(self) -> Iterator[Decision]:
        """Yield the grants, refusals and orders of one decision round."""
        now_ms = self._clock.now_ms()
        self._decisions.begin_round()
        self._classes.begin_round(self._waiting, now_ms)
        self.slowed.refresh(now_ms)
        yield from self._model_loads.decide(self.engines.values(), now_ms)
        to_decide = [one for one in self._waiting if self._is_to_decide(one, now_ms)]
        self._reservations.apply(self.engines.values(), now_ms)
        queues = {one.queue for one in to_decide}
        rounds = self._rounds.begin(queues, self._waiting, now_ms)
        for waiting in in_order(to_decide, rounds):
            yield from self._decisions.decide(waiting, rounds[waiting.queue], now_ms)

    def _is_to_decide(self, waiting: WaitingRequest, now_ms: int) -> bool:
        if not self.suspects.is_empty:
            return True
        engine = self.engines.get(waiting.instance)
        return not only_awaits_load(waiting, engine, self._versions, now_ms)
