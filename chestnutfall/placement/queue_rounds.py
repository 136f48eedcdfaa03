"""The rounds of all queues in one decision of the placer."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from .candidate_engines import CandidateEngines
from .demand import Demand
from .engine import Engine
from .engine_selector import EngineSelector
from .engine_table import EngineTable
from .queue import Queue
from .request_classes import RequestClasses
from .service_round import ServiceRound
from .waiting_request import WaitingRequest
from .wanted_versions import WantedVersions


class QueueRounds:
    """Makes the rounds of the queues that have requests to decide."""

    def __init__(
        self,
        table: EngineTable,
        demand: Demand,
        versions: WantedVersions,
        classes: RequestClasses,
    ) -> None:
        self._table = table
        self._demand = demand
        self._versions = versions
        self._classes = classes
        self._candidates = CandidateEngines(table.index)
        self._rounds: dict[Queue, ServiceRound] = {}

    def begin(
        self, queues: Collection[Queue], waiting: Iterable[WaitingRequest], now_ms: int
    ) -> Mapping[Queue, ServiceRound]:
        """Make the rounds of some queues.

        Parameters
        ----------
        waiting : iterable of WaitingRequest
            All requests without a place, of any queue.
        """
        requests = list(waiting)
        self._rounds = {queue: self._round(queue, requests, now_ms) for queue in queues}
        return self._rounds

    def _round(self, queue: Queue, waiting: list[WaitingRequest], now_ms: int) -> ServiceRound:
        engines = [
            engine for engine in self._table.by_instance.values() if _may_serve(engine, queue)
        ]
        adapters = {one.req.adapter for one in waiting if one.queue == queue}
        selector = EngineSelector(
            self._candidates.select(engines, adapters),
            self._demand,
            self._versions,
            now_ms,
            engine_count=len(engines),
        )
        return self._classes.service_round(queue, selector, now_ms)

    def refresh(self, engine: Engine) -> None:
        """Recompute an engine's costs in each queue that it serves."""
        for queue, service_round in self._rounds.items():
            if _may_serve(engine, queue):
                service_round.selector.refresh(engine)


def _may_serve(engine: Engine, queue: Queue) -> bool:
    return engine.service == queue.service and queue.build_key in ("", engine.build_key)
