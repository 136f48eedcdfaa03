"""Selection among interchangeable upstreams of a plain service."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from ..clock import Clock
from ..concurrency.known_room import KnownRoom
from ..concurrency.leaderless_room import LeaderlessRoom
from ..concurrency.messages import EndTurn
from ..control.upstream_record import UpstreamRecord
from ..limits.turn_round import NO_UPSTREAM_RETRY_MS
from ..placement import RunOutcome
from ..placement.run_times import RunTimes
from ..resumption import BEGIN_ANEW_MS, BUILD_GONE
from ..signals import BACKING_OFF, UpstreamLoad
from ..signals.known_signals import KnownSignals
from .limited_turns import AskForTurn, LimitedTurns
from .place import NoPlace, Place, SelectionCriteria, UpstreamSelector
from .plain_upstream_state import PlainUpstreamState
from .room_turns import RoomTurns

CONNECT_COST_MS = 2.0
"""Cost of an upstream to which no connection is open: a round trip, and work on both sides."""
UNSAFE_FAILURE_WEIGHT = 4.0
"""How much more failures count for a call that may run only once: its caller loses the answer,
where another call costs a second send."""
OTHER_DATA_CENTRE_MS = 6.0
"""Cost of another data centre: the round trip, and traffic that is paid for."""
AVOIDED_MS = 10_000.0
"""Cost of an upstream to avoid. More than any sum of load and delay, so that it is selected only as
a last resort."""
MAX_COMPARED = 24
"""Upstreams compared for one call. The best of a random sample of this size is nearly as good as
the best of all, and the time per call stays the same for a thousand upstreams as for a few."""


@dataclass(frozen=True, slots=True)
class _Sent:
    """A request that was sent.

    Attributes
    ----------
    turn : int or None
        Number of the turn that it holds at the leader.
    """

    sent_ms: int
    turn: int | None


class PlainUpstreamSelector(UpstreamSelector):
    """Selects the least loaded upstream and prefers the own data centre.

    The load is this gateway's requests in progress plus the load that the upstream last reported.
    While a service is short of room, the leader selects the upstream of each call.

    Parameters
    ----------
    room : KnownRoom, optional
        Which services are short of room; none by default.
    end_turn : callable
        Tells the leader that a turn ended.
    has_open : callable
        Whether a connection to an instance is open and free.
    """

    def __init__(
        self,
        upstreams: Callable[[str], Sequence[UpstreamRecord]],
        signals: KnownSignals,
        ask_turn: AskForTurn,
        clock: Clock,
        data_centre: str,
        rng: random.Random,
        room: KnownRoom | None = None,
        end_turn: Callable[[EndTurn], None] = lambda ended: None,
        has_open: Callable[[str], bool] = lambda instance: False,
    ) -> None:
        self._upstreams = upstreams
        self._signals = signals
        self._turns = LimitedTurns(signals, ask_turn, clock, end_turn)
        self._room = room if room is not None else _never_short(clock, rng)
        self._room_turns = RoomTurns(self._room, signals.limits, ask_turn, end_turn, clock, rng)
        self._end_turn = end_turn
        self._has_open = has_open
        self._sent: dict[str, _Sent] = {}
        self._clock = clock
        self._data_centre = data_centre
        self._rng = rng
        self._states: dict[str, PlainUpstreamState] = {}
        self._numbers = itertools.count()

    async def select(self, criteria: SelectionCriteria) -> Place:
        service = criteria.service.name
        criteria = self._with_others_avoided(criteria)
        upstreams = self._sampled(self._accepting(criteria))
        # In a fixed order, all gateways would send to the first of equal upstreams.
        by_cost = sorted(
            upstreams, key=lambda one: (self._cost_ms(one, criteria), self._rng.random())
        )
        chosen, turn = by_cost[0], None
        with_turn = await self._choose_with_turn(criteria, by_cost)
        if with_turn is not None:
            chosen, turn = with_turn
        elif self._signals.limits.per_s(chosen.instance) is not None:
            can_take = [one for one in by_cost if self._can_take(one, criteria.avoid)]
            chosen = await self._turns.choose(criteria, can_take or by_cost, self._upstreams)
        state = self._state_of(chosen)
        now_ms = self._clock.now_ms()
        if state.health.is_ejected(now_ms) and chosen.instance in criteria.avoid:
            self._give_back(turn, chosen.instance)
            raise NoPlace("unreachable", NO_UPSTREAM_RETRY_MS)
        state.own_requests += 1
        self._room.started(service, chosen.instance)
        has_other = any(
            self._can_take(one, criteria.avoid) for one in upstreams if one is not chosen
        )
        place = Place(f"plain-{next(self._numbers)}", chosen, 0, has_other=has_other)
        self._sent[place.ticket] = _Sent(now_ms, turn)
        return place

    async def _choose_with_turn(
        self, criteria: SelectionCriteria, by_cost: Sequence[UpstreamRecord]
    ) -> tuple[UpstreamRecord, int | None] | None:
        """Select the upstream if the service is short of room; None if it has plenty."""
        if not self._room.is_short(criteria.service.name):
            return None
        can_take = [one for one in by_cost if self._can_take(one, criteria.avoid)]
        # The leader doesn't know which upstreams this gateway can't reach.
        avoid = (*criteria.avoid, *(one.instance for one in by_cost if one not in can_take))
        return await self._room_turns.choose(
            replace(criteria, avoid=avoid), can_take or by_cost, self._upstreams
        )

    def _with_others_avoided(self, criteria: SelectionCriteria) -> SelectionCriteria:
        """Avoid the upstreams that can't go on with a stream; the leader doesn't know of it."""
        if criteria.origin is None and not criteria.only:
            return criteria
        others = self._upstreams(criteria.service.name)
        avoid = (one.instance for one in others if not criteria.allows(one))
        return replace(criteria, avoid=(*criteria.avoid, *avoid))

    def _give_back(self, turn: int | None, instance: str) -> None:
        if turn is not None:
            self._end_turn(EndTurn(turn, instance, RunOutcome.WITHDRAWN.value))

    def _accepting(self, criteria: SelectionCriteria) -> Sequence[UpstreamRecord]:
        """Return the upstreams that accept work from this gateway.

        Raises
        ------
        NoPlace
            When there is none, all of them are backing off, or none runs what a stream needs.
        """
        service = criteria.service.name
        upstreams = self._upstreams(service)
        if not upstreams:
            raise NoPlace("no_upstream", NO_UPSTREAM_RETRY_MS)
        upstreams = [one for one in upstreams if criteria.allows(one)]
        if not upstreams:
            reason = BUILD_GONE if criteria.origin is not None else "no_upstream"
            raise NoPlace(reason, BEGIN_ANEW_MS)
        accepting = [one for one in upstreams if self._signals.may_send(one.instance)]
        if accepting:
            return accepting
        held_back_ms = self.held_back_ms(service)
        raise NoPlace(BACKING_OFF, self._signals.caller_retry_ms(service, held_back_ms))

    def held_back_ms(self, service: str) -> float:
        return self._signals.held_back_ms(one.instance for one in self._upstreams(service))

    def _sampled(self, upstreams: Sequence[UpstreamRecord]) -> Sequence[UpstreamRecord]:
        if len(upstreams) <= MAX_COMPARED:
            return upstreams
        return self._rng.sample(upstreams, MAX_COMPARED)

    def _can_take(self, upstream: UpstreamRecord, avoid: tuple[str, ...]) -> bool:
        if self._signals.backoffs.probably_rejects(upstream.instance):
            return False
        ejected = self._state_of(upstream).health.is_ejected(self._clock.now_ms())
        return not ejected and upstream.instance not in avoid

    def note_silent(self, place: Place) -> None:
        self._state_of(place.upstream).health.note(RunOutcome.BROKEN, self._clock.now_ms())

    def release(
        self, place: Place, outcome: RunOutcome, times: RunTimes, load: UpstreamLoad | None
    ) -> None:
        state = self._state_of(place.upstream)
        state.own_requests -= 1
        now_ms = self._clock.now_ms()
        # For this gateway an upstream that it doesn't reach is as good as down.
        no_path = outcome is RunOutcome.NO_PATH
        state.health.note(RunOutcome.UNREACHABLE if no_path else outcome, now_ms)
        if outcome is RunOutcome.DONE:
            state.health.note_lag(times.lag_ms, now_ms)
        if load is not None:
            state.note_load(load, now_ms)
        self._end_send(place, outcome, load, now_ms)

    def _end_send(
        self, place: Place, outcome: RunOutcome, load: UpstreamLoad | None, now_ms: int
    ) -> None:
        sent = self._sent.pop(place.ticket, None)
        if sent is None:
            return
        instance, run_ms = place.upstream.instance, float(now_ms - sent.sent_ms)
        self._room.ended(place.upstream.service, instance, outcome, load, run_ms)
        if sent.turn is not None:
            self._end_turn(EndTurn(sent.turn, instance, outcome.value, run_ms, load))

    def _state_of(self, upstream: UpstreamRecord) -> PlainUpstreamState:
        if upstream.instance not in self._states:
            self._forget_absent(upstream.service)
            self._states[upstream.instance] = PlainUpstreamState()
        return self._states[upstream.instance]

    def _forget_absent(self, service: str) -> None:
        present = {one.instance for one in self._upstreams(service)}
        for instance, state in list(self._states.items()):
            if instance not in present and not state.own_requests and len(self._states) > 64:
                del self._states[instance]

    def _cost_ms(self, upstream: UpstreamRecord, criteria: SelectionCriteria) -> float:
        state = self._state_of(upstream)
        now_ms = self._clock.now_ms()
        avoid = criteria.avoid
        weight = 1.0 if criteria.route.kind.idempotent else UNSAFE_FAILURE_WEIGHT
        cost_ms = state.expected_ms(self._room.run_ms(upstream.service), now_ms)
        cost_ms += weight * state.health.cost_ms(now_ms)
        if not self._has_open(upstream.instance):
            cost_ms += CONNECT_COST_MS
        if upstream.data_centre != self._data_centre:
            cost_ms += OTHER_DATA_CENTRE_MS
        if not self._can_take(upstream, avoid):
            cost_ms += AVOIDED_MS
        return cost_ms


def _never_short(clock: Clock, rng: random.Random) -> KnownRoom:
    """Room of a gateway whose leader gives out none."""
    return KnownRoom(lambda report: None, LeaderlessRoom(lambda: 1, clock, rng), clock)
