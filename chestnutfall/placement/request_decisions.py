"""Decides what becomes of each waiting request in a round."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from .assignments import Assignments
from .decisions import Decision, Grant, Reject
from .engine import Engine
from .granted_places import GrantedPlaces
from .place_option import PlaceOption
from .prefill_turns import PrefillTurns, Turn
from .queue_rounds import QueueRounds
from .refusals import Refusals
from .request_classes import RequestClasses
from .service_round import ServiceRound
from .stale_assignment import is_stale
from .suspect_parts import PART_ENDS_UPSTREAMS, SuspectParts
from .waiting_request import WaitingRequest
from .waiting_requests import WaitingRequests
from .wanted_versions import WantedVersions


class RequestDecisions:
    """Refuses a waiting request, assigns it to an engine or grants its place there.

    Parameters
    ----------
    engines : mapping of str to Engine
        Engines by instance.
    """

    def __init__(
        self,
        engines: Mapping[str, Engine],
        waiting: WaitingRequests,
        assignments: Assignments,
        places: GrantedPlaces,
        rounds: QueueRounds,
        refusals: Refusals,
        versions: WantedVersions,
        suspects: SuspectParts,
        classes: RequestClasses,
    ) -> None:
        self._engines = engines
        self._waiting = waiting
        self._assignments = assignments
        self._places = places
        self._rounds = rounds
        self._refusals = refusals
        self._versions = versions
        self._suspects = suspects
        self._classes = classes
        self._turns = PrefillTurns()

    def begin_round(self) -> None:
        """Prepare for the decisions of the next round."""
        self._turns.begin_round()

    def decide(
        self, waiting: WaitingRequest, service_round: ServiceRound, now_ms: int
    ) -> Iterator[Decision]:
        """Yield what becomes of a request in this round; nothing if it waits on."""
        engine = self._engines.get(waiting.instance)
        if is_stale(waiting, engine, self._versions, self._suspects, now_ms):
            self._assignments.clear(waiting)
        if waiting.build_key and not service_round.selector.is_known:
            yield self._drop(waiting, self._refusals.refuse_without_build(waiting.req))
        elif (held_ms := self._held_ms(waiting)) is not None:
            yield self._drop(waiting, Reject(waiting.req.ticket, PART_ENDS_UPSTREAMS, held_ms))
        elif (
            now_ms + service_round.selector.first_event_ms(waiting.req)
            > waiting.since_ms + waiting.req.wait_ms
        ):
            yield self._drop(
                waiting, self._refusals.refuse_expired(waiting.req, service_round, now_ms)
            )
        elif waiting.instance:
            service_round.selector.keep(self._engines[waiting.instance])
            yield from self._grant_when_ready(waiting, service_round, now_ms)
        elif (option := self._best(waiting, service_round, now_ms)) is not None:
            yield from self._assignments.assign(waiting, option, service_round, now_ms)
            yield from self._grant_when_ready(waiting, service_round, now_ms)
            self._rounds.refresh(option.engine)
        elif (
            refusal := self._refusals.refuse_unservable(waiting, service_round, now_ms)
        ) is not None:
            yield self._drop(waiting, refusal)
        else:
            self._classes.note_kept_waiting(waiting.req)

    def _held_ms(self, waiting: WaitingRequest) -> int | None:
        """Return the retry time of a request whose prompt parts are held, else None."""
        if self._suspects.is_empty:
            return None
        return self._suspects.retry_ms(waiting.part_keys)

    def _best(
        self, waiting: WaitingRequest, service_round: ServiceRound, now_ms: int
    ) -> PlaceOption | None:
        """Return the best place now, apart from what other suspect parts may end."""
        if self._suspects.is_empty:
            return service_round.best(waiting)
        engines = [one.instance for one in service_round.selector.engines]
        barred = self._suspects.barred(waiting.part_keys, engines, now_ms)
        return service_round.best(waiting, barred) if barred is not None else None

    def _grant_when_ready(
        self, waiting: WaitingRequest, service_round: ServiceRound, now_ms: int
    ) -> Iterator[Decision]:
        engine = self._engines[waiting.instance]
        holding = engine.holdings.get(waiting.req.adapter)
        if holding is not None and not holding.is_ready(now_ms):
            return
        turn = self._turns.turn(engine, waiting, service_round, now_ms)
        if turn is not Turn.NOW:
            if turn is Turn.ELSEWHERE:
                self._assignments.clear(waiting)
            self._classes.note_kept_waiting(waiting.req)
            return
        self._classes.note_granted(waiting, now_ms)
        self._waiting.remove(waiting)
        self._places.note_granted(waiting.req.ticket, engine)
        yield Grant(
            waiting.req.ticket,
            engine.instance,
            holding.version if holding else 0,
            waiting.assigned_ms - waiting.since_ms,
            now_ms - waiting.assigned_ms,
        )

    def _drop(self, waiting: WaitingRequest, refusal: Reject) -> Reject:
        self._assignments.clear(waiting)
        self._waiting.remove(waiting)
        self._classes.note_refused(waiting.req)
        return refusal
