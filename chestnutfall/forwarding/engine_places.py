"""Places on engines, given by the leading controller."""

from __future__ import annotations

import itertools
import logging
from collections import Counter

from ..clock import Clock
from ..coordination.messages import Release, Withdraw
from ..placement import AdapterName, Grant, PlaceRequest, Reject, RunOutcome
from ..placement.run_times import RunTimes
from ..signals import BACKING_OFF, UpstreamLoad
from ..signals.known_signals import KnownSignals
from . import patience
from .fleet_client import FleetClient, LeaderLost
from .place import NoPlace, Place, Places, Wanted

log = logging.getLogger(__name__)
LEADERLESS_WAIT_MS = 1_500
"""An election takes about a second; a request waits this long for it if it has the time."""
NO_LEADER_RETRY_MS = 800
"""A leader is elected within this time."""


class EnginePlaces(Places):
    """Asks the leader; without one, goes where it last said that the adapter is.

    Sending on memory is safe: an engine that no longer holds the adapter, or another version of
    it, refuses and runs nothing.
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
        self._without_leader: Counter[str] = Counter()

    async def take(self, wanted: Wanted) -> Place:
        give_up_ms = min(self._clock.now_ms() + LEADERLESS_WAIT_MS, wanted.until_ms)
        while True:
            req = self._request(wanted)
            try:
                answer = await self._ask(req)
            except LeaderLost:
                place = self._from_memory(req, wanted.too_early)
                if place is not None:
                    return place
                self._refuse_if_held_back(wanted.service.name)
                wait_ms = give_up_ms - self._clock.now_ms()
                if wait_ms <= 0 or not await self._fleet.until_connected(wait_ms):
                    raise NoPlace("no_leader", NO_LEADER_RETRY_MS) from None
                continue
            if isinstance(answer, Reject):
                raise NoPlace(answer.reason, answer.retry_after_ms)
            upstream = self._fleet.knowledge.upstream(answer.instance)
            if upstream is not None:
                return Place(
                    req.ticket, upstream, answer.version, answer.queued_ms, answer.loading_ms
                )
            self._fleet.tell(Release(req.ticket, RunOutcome.WITHDRAWN.value))

    def _refuse_if_held_back(self, service: str) -> None:
        held_back_ms = self.held_back_ms(service)
        if held_back_ms:
            raise NoPlace(BACKING_OFF, self._signals.caller_retry_ms(service, held_back_ms))

    def held_back_ms(self, service: str) -> float:
        upstreams = self._fleet.knowledge.upstreams(service)
        return self._signals.held_back_ms(one.instance for one in upstreams)

    async def _ask(self, req: PlaceRequest) -> Grant | Reject:
        try:
            return await self._fleet.place(req)
        except LeaderLost:
            raise
        except BaseException:
            # The client left, or its time is over; a place kept for it would stay taken.
            self._fleet.tell(Withdraw(req.ticket))
            raise

    def give_back(
        self, place: Place, outcome: RunOutcome, times: RunTimes, load: UpstreamLoad | None
    ) -> None:
        self._fleet.tell(Release(place.ticket, outcome.value, times))

    def _request(self, wanted: Wanted) -> PlaceRequest:
        call, now_ms = wanted.call, self._clock.now_ms()
        return PlaceRequest(
            f"{self._gateway}/{next(self._numbers)}",
            wanted.service.name,
            call.adapter or AdapterName("", ""),
            call.prompt_tokens,
            call.output_tokens,
            call.parts,
            wanted.route.rank,
            max(call.arrived_ms + wanted.route.objective_ms - now_ms, 0),
            max(min(wanted.until_ms, _caller_leaves_ms(wanted)) - now_ms, 0),
            self._data_centre,
            wanted.avoid,
            wanted.route.pause_objective_ms,
            wanted.organisation,
        )

    def _from_memory(self, req: PlaceRequest, lacking: tuple[str, ...]) -> Place | None:
        """The least used engine that held the adapter when there was a leader.

        Not one of those that turned out to lack it: nobody loads it there now, nor one that wants
        nothing. One that names a limit gets no more than this gateway's share.
        """
        found = (
            (held, upstream)
            for held in self._fleet.knowledge.holders(req.adapter)
            if (upstream := self._fleet.knowledge.upstream(held.instance)) is not None
            and held.instance not in (*req.avoid, *lacking)
            and self._signals.may_send(held.instance)
        )
        for held, upstream in sorted(found, key=lambda one: self._without_leader[one[0].instance]):
            if self._signals.limits.may_send_without_leader(held.instance):
                self._without_leader[held.instance] += 1
                log.info("place: ticket=%s from memory instance=%s", req.ticket, held.instance)
                return Place(req.ticket, upstream, held.version)
        return None


def _caller_leaves_ms(wanted: Wanted) -> int:
    """Clock time at which the caller leaves unless the answer has begun."""
    if not wanted.route.kind.streamed or wanted.started:
        return wanted.until_ms
    return int(wanted.call.arrived_ms + patience.caller_ms(wanted.route))
