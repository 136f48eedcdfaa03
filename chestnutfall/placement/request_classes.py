"""What placement keeps of the classes of requests between rounds."""

from __future__ import annotations

from collections.abc import Iterable

from .class_floor import ClassFloor
from .class_log import ClassLog
from .engine import Engine
from .engine_selector import EngineSelector
from .long_prompts import LongPrompts
from .place_request import PlaceRequest
from .placement_rate import PlacementRate
from .queue import Queue
from .service_round import ServiceRound
from .waiting_request import WaitingRequest


class RequestClasses:
    """Floors, rates and long prompts of the classes of all services.

    A class is the requests of one service and rank. The state grows with the configured ranks and
    with the engines only.
    """

    def __init__(self) -> None:
        self._rate = PlacementRate()
        self._floor = ClassFloor()
        self._long_prompts = LongPrompts()
        self._log = ClassLog()

    def begin_round(self, waiting: Iterable[WaitingRequest], now_ms: int) -> None:
        """Prepare for the next decision round on these requests."""
        self._long_prompts.begin_round()
        self._log.write_due(waiting, now_ms)

    def service_round(self, queue: Queue, selector: EngineSelector, now_ms: int) -> ServiceRound:
        """Return the round of one queue, which orders its waiting requests."""
        service = queue.service
        long_prompts = self._long_prompts if self._floor.has_classes(service) else None
        owed = {} if queue.build_key else self._floor.owed(service, now_ms)
        return ServiceRound(queue.name, selector, self._rate, long_prompts, owed, now_ms)

    def note_submitted(self, req: PlaceRequest, now_ms: int) -> None:
        """Count a request that arrives."""
        self._long_prompts.note_prompt(req.service, req.prompt_tokens)
        self._floor.note_arrival(req.service, req.rank, now_ms)

    def note_assigned(
        self, waiting: WaitingRequest, engine: Engine, in_time: bool, load_ms: float, now_ms: int
    ) -> None:
        """Record that a request was assigned to an engine.

        Parameters
        ----------
        in_time : bool
            Whether it could be in time then.
        load_ms : float
            Time until the engine has the adapter.
        """
        req = waiting.req
        self._long_prompts.note_assigned(req, engine, load_ms, now_ms)
        # One that lost its engine and gets another counts once.
        if waiting.assigned_late is None or waiting.assigned_late is in_time:
            self._rate.note(waiting.queue.name, in_time, now_ms, req.rank)
        waiting.assigned_late = not in_time

    def note_unassigned(self, ticket: str) -> None:
        """Record that a request lost its engine before it was sent."""
        self._long_prompts.note_unassigned(ticket)

    def note_kept_waiting(self, req: PlaceRequest) -> None:
        """Record that a request waits for an engine, or for its turn there."""
        self._long_prompts.note_waiting(req)

    def note_granted(self, waiting: WaitingRequest, now_ms: int) -> None:
        """Count a request that is sent to its engine."""
        self._floor.note_grant(waiting.req.service, waiting.req.rank, now_ms)
        self._log.note_granted(waiting.req, waiting.objective_ms(now_ms) >= 0)

    def note_refused(self, req: PlaceRequest) -> None:
        """Count a request that is refused."""
        self._log.note_refused(req)
