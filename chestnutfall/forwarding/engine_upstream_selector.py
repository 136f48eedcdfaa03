"""Selection of engines by the leading controller."""

from __future__ import annotations

import itertools
import logging
from collections import Counter
from collections.abc import Callable, Collection, Iterable

from ..clock import Clock
from ..coordination.messages import PlaceStream, Release, SilentRun, Withdraw
from ..placement import AdapterName, Grant, PlaceRequest, Reject, RunOutcome
from ..placement.run_times import RunTimes
from ..placement.suspect_parts import keys_of
from ..resumption import remembered_attempt, stream_owner
from ..routes import RouteKind
from ..signals import BACKING_OFF, UpstreamLoad
from ..signals.known_signals import KnownSignals
from . import answer_timeouts
from .engine_load_reports import EngineLoadReports
from .fleet_client import FleetClient
from .leader_questions import LeaderLost
from .place import NoPlace, Place, SelectionCriteria, UpstreamSelector
from .running_sends import RunningEngineSends

log = logging.getLogger(__name__)
LEADERLESS_WAIT_MS = 1_500
"""Longest wait of a call for a new leader, if its deadline allows. An election takes about a
second."""
NO_LEADER_RETRY_MS = 800
"""Retry delay for clients while there is no leader; a leader is elected within this time."""


class EngineUpstreamSelector(UpstreamSelector):
    """Asks the leader for an engine; without a leader, uses the last known adapter holders.

    The last known holders are safe to use: an engine that no longer holds the adapter, or holds
    another version of it, refuses the call and runs nothing.

    Attributes
    ----------
    running : RunningEngineSends
        Requests of this gateway that run on engines.
    is_unsettled : callable
        Whether one of these prompt parts may end engines; only a leader sees to it that requests
        with such a part risk one engine at a time.
    on_answered : callable
        Called with the prompt parts of each request that an engine answered in full.
    """

    def __init__(
        self,
        fleet: FleetClient,
        signals: KnownSignals,
        clock: Clock,
        gateway: str,
        data_centre: str,
    ) -> None:
        self._fleet = fleet
        self._signals = signals
        self._clock = clock
        self._gateway = gateway
        self._data_centre = data_centre
        self._numbers = itertools.count()
        self._leaderless_sends: Counter[str] = Counter()
        self._loads = EngineLoadReports(fleet.send, clock)
        self.running = RunningEngineSends(signals.rejections, clock)
        self.is_unsettled: Callable[[Collection[str]], bool] = lambda parts: False
        self.on_answered: Callable[[Collection[str]], None] = lambda parts: None

    async def select(self, criteria: SelectionCriteria) -> Place:
        give_up_ms = min(self._clock.now_ms() + LEADERLESS_WAIT_MS, criteria.until_ms)
        while True:
            req = self._request(criteria)
            asked = _question(req, criteria, self._clock.now_ms())
            try:
                answer = await self._ask(asked, req.ticket)
            except LeaderLost:
                place = self._from_last_holdings(req, criteria)
                if place is not None:
                    self.running.began(req, place.upstream.instance)
                    return place
                self._refuse_if_held_back(criteria.service.name)
                wait_ms = give_up_ms - self._clock.now_ms()
                if wait_ms <= 0 or not await self._fleet.wait_for_leader(wait_ms):
                    raise NoPlace("no_leader", NO_LEADER_RETRY_MS) from None
                continue
            self.running.leader_found()
            if isinstance(answer, Reject):
                raise NoPlace(answer.reason, answer.retry_after_ms)
            upstream = self._fleet.knowledge.upstream(answer.instance)
            if upstream is not None:
                self.running.began(req, answer.instance)
                return Place(
                    req.ticket,
                    upstream,
                    answer.version,
                    answer.queued_ms,
                    answer.loading_ms,
                    is_recorded=isinstance(asked, PlaceStream),
                )
            self._fleet.send(Release(req.ticket, RunOutcome.WITHDRAWN.value))

    def _refuse_if_held_back(self, service: str) -> None:
        held_back_ms = self.held_back_ms(service)
        if held_back_ms:
            raise NoPlace(BACKING_OFF, self._signals.caller_retry_ms(service, held_back_ms))

    def held_back_ms(self, service: str) -> float:
        upstreams = self._fleet.knowledge.upstreams(service)
        return self._signals.held_back_ms(one.instance for one in upstreams)

    async def _ask(self, asked: PlaceRequest | PlaceStream, ticket: str) -> Grant | Reject:
        try:
            return await self._fleet.questions.place(asked)
        except LeaderLost:
            raise
        except BaseException:
            # The client has disconnected or the call is out of time. Without this message the
            # leader would keep the engine's capacity reserved for the call.
            self._fleet.send(Withdraw(ticket))
            raise

    def note_load(self, place: Place, load: UpstreamLoad) -> None:
        if self._fleet.knowledge.leader_reads_loads:
            self._loads.note(place.upstream.instance, load)

    def note_silent(self, place: Place) -> None:
        self._fleet.send(SilentRun(place.ticket))

    def release(
        self, place: Place, outcome: RunOutcome, times: RunTimes, load: UpstreamLoad | None
    ) -> None:
        req = self.running.ended(place.ticket)
        if req is not None and outcome is RunOutcome.DONE and times.first_ms > 0:
            self.on_answered(keys_of(req))
        self._fleet.send(Release(place.ticket, outcome.value, times))

    def _request(self, criteria: SelectionCriteria) -> PlaceRequest:
        call, now_ms = criteria.call, self._clock.now_ms()
        return PlaceRequest(
            f"{self._gateway}/{next(self._numbers)}",
            criteria.service.name,
            call.adapter or AdapterName("", ""),
            call.prompt_tokens,
            call.output_tokens,
            call.parts,
            criteria.route.rank,
            max(call.arrived_ms + criteria.route.objective_ms - now_ms, 0),
            max(min(criteria.until_ms, _caller_deadline_ms(criteria)) - now_ms, 0),
            self._data_centre,
            (*criteria.avoid, *self._others(criteria)),
            criteria.route.pause_objective_ms,
            criteria.organisation,
        )

    def _others(self, criteria: SelectionCriteria) -> Iterable[str]:
        """Return the engines that may not run the call, as only certain ones may."""
        if not criteria.only:
            return ()
        known = self._fleet.knowledge.upstreams(criteria.service.name)
        return (one.instance for one in known if one.instance not in criteria.only)

    def _from_last_holdings(self, req: PlaceRequest, criteria: SelectionCriteria) -> Place | None:
        """Select the least used engine among the last known holders of the adapter.

        Engines that lacked the adapter are skipped, since no engine loads adapters without a
        leader, and so are engines that are backing off. An engine with a rate limit gets no more
        than this gateway's share of it.
        """
        # Asked now and not as the call began: it may have waited at a leader that is lost, since
        # its parts were being judged.
        if criteria.needs_leader:
            return None
        if self.is_unsettled(keys_of(req)):
            log.info("place: ticket=%s waits for a leader, its parts are suspect", req.ticket)
            return None
        found = (
            (held, upstream)
            for held in self._fleet.knowledge.holders(req.adapter)
            if (upstream := self._fleet.knowledge.upstream(held.instance)) is not None
            and upstream.service == req.service
            and held.instance not in (*req.avoid, *criteria.lacked_adapter)
            and criteria.allows(upstream)
            and self._signals.may_send(held.instance)
        )
        for held, upstream in sorted(
            found, key=lambda one: self._leaderless_sends[one[0].instance]
        ):
            if not self.running.may_send_without_leader(held.instance):
                continue
            if self._signals.limits.may_send_without_leader(held.instance):
                self._leaderless_sends[held.instance] += 1
                log.info(
                    "place: ticket=%s from last known holders instance=%s",
                    req.ticket,
                    held.instance,
                )
                return Place(req.ticket, upstream, held.version)
        return None


def _question(
    req: PlaceRequest, criteria: SelectionCriteria, now_ms: int
) -> PlaceRequest | PlaceStream:
    """Return the question for the leader, with what it has to know of a stream."""
    is_resumable = criteria.route.kind is RouteKind.RESUMABLE_STREAM
    if not criteria.is_mixed or not (is_resumable or criteria.origin):
        return req
    call = criteria.call
    left_ms = max(call.deadline_ms - now_ms, 1)
    build_key = criteria.origin.build_key if criteria.origin else ""
    owner = stream_owner(criteria.organisation, call.host)
    attempt = remembered_attempt(call.request_id)
    return PlaceStream(req, attempt, owner, left_ms, build_key)


def _caller_deadline_ms(criteria: SelectionCriteria) -> int:
    """Return the clock time at which the client disconnects if no answer has begun."""
    if not criteria.route.kind.streamed or criteria.started:
        return criteria.until_ms
    return int(criteria.call.arrived_ms + answer_timeouts.caller_timeout_ms(criteria.route))
