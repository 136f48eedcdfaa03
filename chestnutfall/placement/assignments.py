"""Which engine each waiting request is assigned to."""

from __future__ import annotations

from collections.abc import Iterator

from ..quota.fair_share import FairShare
from .decisions import Decision, LoadAdapter, UnloadAdapter
from .engine_table import EngineTable
from .place_option import PlaceOption
from .request_classes import RequestClasses
from .service_round import ServiceRound
from .suspect_parts import SuspectParts
from .waiting_request import WaitingRequest
from .waiting_requests import WaitingRequests
from .wanted_versions import WantedVersions


class Assignments:
    """Assigns waiting requests to engines, and undoes it while they are not granted their place.

    A request that is assigned waits for its adapter or for its turn on that engine.
    """

    def __init__(
        self,
        table: EngineTable,
        waiting: WaitingRequests,
        versions: WantedVersions,
        shares: FairShare,
        suspects: SuspectParts,
        classes: RequestClasses,
    ) -> None:
        self._table = table
        self._waiting = waiting
        self._versions = versions
        self._shares = shares
        self._suspects = suspects
        self._classes = classes

    def assign(
        self,
        waiting: WaitingRequest,
        option: PlaceOption,
        service_round: ServiceRound,
        now_ms: int,
    ) -> Iterator[Decision]:
        """Assign a request to the engine of an option, and yield the orders that this needs."""
        req, engine = waiting.req, option.engine
        for victim in option.victims:
            engine.note_dropped(victim)
            yield UnloadAdapter(engine.instance, victim)
        if option.load_ms is not None:
            version = self._versions.of(req.adapter)
            engine.begin_load(req.adapter, version, option.load_ms, now_ms)
            self._table.index.add(req.adapter, engine.instance)
            yield LoadAdapter(engine.instance, req.adapter, version)
        self._shares.served(waiting.tag)
        self._waiting.assign(waiting, engine.instance)
        waiting.assigned_ms = now_ms
        if not self._suspects.is_empty:
            self._suspects.assigned(req.ticket, waiting.part_keys, engine.instance)
        engine.start(req, waiting.prefixes)
        in_time = service_round.can_be_in_time(waiting)
        self._classes.note_assigned(waiting, engine, in_time, option.load_ms or 0.0, now_ms)
        if req.adapter.adapter:
            engine.holdings[req.adapter].tickets.add(req.ticket)

    def clear(self, waiting: WaitingRequest) -> None:
        """Take a request from its engine, if it has one, so that it can be placed anew."""
        engine = self._table.by_instance.get(waiting.instance)
        self._waiting.assign(waiting, "")
        self._suspects.ended(waiting.req.ticket)
        self._classes.note_unassigned(waiting.req.ticket)
        if engine is None:
            return
        engine.end(waiting.req.ticket)
        holding = engine.holdings.get(waiting.req.adapter)
        if holding is not None:
            holding.tickets.discard(waiting.req.ticket)
