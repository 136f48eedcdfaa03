"""Selection among interchangeable upstreams of a plain service."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ..clock import Clock
from ..control.upstream_record import UpstreamRecord
from ..limits.plain_send_queues import NO_UPSTREAM_RETRY_MS
from ..placement import RunOutcome
from ..placement.run_times import RunTimes
from ..placement.upstream_health import UpstreamHealth
from ..signals import BACKING_OFF, UpstreamLoad
from ..signals.known_signals import KnownSignals
from .limited_turns import AskForTurn, LimitedTurns
from .place import NoPlace, Place, SelectionCriteria, UpstreamSelector

BUSY_COST_MS = 20.0
"""Cost of each request in progress at an upstream, about the time of a short request."""
OTHER_DATA_CENTRE_MS = 6.0
"""Cost of another data centre: the round trip, and traffic that is paid for."""
AVOIDED_MS = 10_000.0
"""Cost of an upstream to avoid. More than any sum of load and delay, so that it is selected only as
a last resort."""
LOAD_FRESH_MS = 250
"""How long a reported load counts; it is outdated after about ten short requests."""
MAX_COMPARED = 24
"""Upstreams compared for one call. The best of a random sample of this size is nearly as good as
the best of all, and the time per call stays the same for a thousand upstreams as for a few."""


@dataclass(slots=True)
class _UpstreamState:
    """State of one upstream on this gateway.

    Attributes
    ----------
    own_requests : int
        Requests of this gateway in progress there.
    other_requests : float
        Requests of other gateways there, by the last reported load.
    slots : int
        Requests that it runs at once, as it last reported.
    load_reported_ms : int
        Clock time of the last reported load.
    """

    health: UpstreamHealth = field(default_factory=UpstreamHealth)
    own_requests: int = 0
    other_requests: float = 0.0
    slots: int = 1
    load_reported_ms: int = -LOAD_FRESH_MS


class PlainUpstreamSelector(UpstreamSelector):
    """Selects the least loaded upstream and prefers the own data centre.

    The load is this gateway's requests in progress plus the load that the upstream last reported.
    """

    def __init__(
        self,
        upstreams: Callable[[str], Sequence[UpstreamRecord]],
        signals: KnownSignals,
        ask_turn: AskForTurn,
        clock: Clock,
        data_centre: str,
        rng: random.Random,
    ) -> None:
        self._upstreams = upstreams
        self._signals = signals
        self._turns = LimitedTurns(signals, ask_turn, clock)
        self._clock = clock
        self._data_centre = data_centre
        self._rng = rng
        self._states: dict[str, _UpstreamState] = {}
        self._numbers = itertools.count()

    async def select(self, criteria: SelectionCriteria) -> Place:
        upstreams = self._sampled(self._accepting(criteria.service.name))
        by_cost = sorted(upstreams, key=lambda one: self._cost_ms(one, criteria.avoid))
        chosen = by_cost[0]
        if self._signals.limits.per_s(chosen.instance) is not None:
            can_take = [one for one in by_cost if self._can_take(one, criteria.avoid)]
            chosen = await self._turns.choose(criteria, can_take or by_cost, self._upstreams)
        state = self._state_of(chosen)
        if state.health.is_ejected(self._clock.now_ms()) and chosen.instance in criteria.avoid:
            raise NoPlace("unreachable", NO_UPSTREAM_RETRY_MS)
        state.own_requests += 1
        has_other = any(
            self._can_take(one, criteria.avoid) for one in upstreams if one is not chosen
        )
        return Place(f"plain-{next(self._numbers)}", chosen, 0, has_other=has_other)

    def _accepting(self, service: str) -> Sequence[UpstreamRecord]:
        """Return the upstreams that accept work from this gateway.

        Raises
        ------
        NoPlace
            When there is none, or all of them are backing off.
        """
        upstreams = self._upstreams(service)
        if not upstreams:
            raise NoPlace("no_upstream", NO_UPSTREAM_RETRY_MS)
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

    def release(
        self, place: Place, outcome: RunOutcome, times: RunTimes, load: UpstreamLoad | None
    ) -> None:
        state = self._state_of(place.upstream)
        state.own_requests -= 1
        now_ms = self._clock.now_ms()
        state.health.note(outcome, now_ms)
        if outcome is RunOutcome.DONE:
            state.health.note_lag(times.lag_ms, now_ms)
        if load is not None:
            state.other_requests = max(load.running + load.waiting - state.own_requests - 1, 0)
            state.slots = max(load.max_running, 1)
            state.load_reported_ms = now_ms

    def _state_of(self, upstream: UpstreamRecord) -> _UpstreamState:
        if upstream.instance not in self._states:
            self._forget_absent(upstream.service)
            self._states[upstream.instance] = _UpstreamState()
        return self._states[upstream.instance]

    def _forget_absent(self, service: str) -> None:
        present = {one.instance for one in self._upstreams(service)}
        for instance, state in list(self._states.items()):
            if instance not in present and not state.own_requests and len(self._states) > 64:
                del self._states[instance]

    def _cost_ms(self, upstream: UpstreamRecord, avoid: tuple[str, ...]) -> float:
        state = self._state_of(upstream)
        now_ms = self._clock.now_ms()
        busy = float(state.own_requests)
        if now_ms - state.load_reported_ms < LOAD_FRESH_MS:
            busy += state.other_requests
        cost_ms = BUSY_COST_MS * busy / state.slots + state.health.cost_ms(now_ms)
        if upstream.data_centre != self._data_centre:
            cost_ms += OTHER_DATA_CENTRE_MS
        if not self._can_take(upstream, avoid):
            cost_ms += AVOIDED_MS
        return cost_ms
