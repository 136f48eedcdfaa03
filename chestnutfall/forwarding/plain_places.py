"""Choosing among upstreams that all can do the same."""

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
from .place import NoPlace, Place, Places, Wanted

BUSY_COST_MS = 20.0
"""One more request at an upstream makes the next wait about a short request's time."""
OTHER_DATA_CENTRE_MS = 6.0
"""Round trip to another data centre, and its traffic, which costs money."""
AVOIDED_MS = 10_000.0
"""More than any load or delay adds up to, so it is the last choice, but still one."""
LOAD_FRESH_MS = 250
"""A load that an upstream told is old after about ten short requests."""
MOST_WEIGHED = 24
"""Upstreams that one choice looks at. The best of so many drawn by chance is nearly as good as the
best of all, and a gateway before a thousand upstreams takes as long as before a few."""


@dataclass(slots=True)
class _Known:
    """What this gateway knows of one upstream."""

    health: UpstreamHealth = field(default_factory=UpstreamHealth)
    own: int = 0
    others: float = 0.0
    places: int = 1
    told_ms: int = -LOAD_FRESH_MS


class PlainPlaces(Places):
    """Least loaded by own count and by what upstreams told, near ones first."""

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
        self._known: dict[str, _Known] = {}
        self._numbers = itertools.count()

    async def take(self, wanted: Wanted) -> Place:
        upstreams = self._weighed(self._wanting(wanted.service.name))
        by_cost = sorted(upstreams, key=lambda one: self._cost_ms(one, wanted.avoid))
        chosen = by_cost[0]
        if self._signals.limits.per_s(chosen.instance) is not None:
            can_take = [one for one in by_cost if self._can_take(one, wanted.avoid)]
            chosen = await self._turns.choose(wanted, can_take or by_cost, self._upstreams)
        known = self._of(chosen)
        if known.health.is_ejected(self._clock.now_ms()) and chosen.instance in wanted.avoid:
            raise NoPlace("unreachable", NO_UPSTREAM_RETRY_MS)
        known.own += 1
        has_other = any(self._can_take(one, wanted.avoid) for one in upstreams if one is not chosen)
        return Place(f"plain-{next(self._numbers)}", chosen, 0, has_other=has_other)

    def _wanting(self, service: str) -> Sequence[UpstreamRecord]:
        """Upstreams that take work from this gateway.

        Raises
        ------
        NoPlace
        """
        upstreams = self._upstreams(service)
        if not upstreams:
            raise NoPlace("no_upstream", NO_UPSTREAM_RETRY_MS)
        wanting = [one for one in upstreams if self._signals.may_send(one.instance)]
        if wanting:
            return wanting
        held_back_ms = self.held_back_ms(service)
        raise NoPlace(BACKING_OFF, self._signals.caller_retry_ms(service, held_back_ms))

    def held_back_ms(self, service: str) -> float:
        return self._signals.held_back_ms(one.instance for one in self._upstreams(service))

    def _weighed(self, upstreams: Sequence[UpstreamRecord]) -> Sequence[UpstreamRecord]:
        if len(upstreams) <= MOST_WEIGHED:
            return upstreams
        return self._rng.sample(upstreams, MOST_WEIGHED)

    def _can_take(self, upstream: UpstreamRecord, avoid: tuple[str, ...]) -> bool:
        if self._signals.backoffs.probably_rejects(upstream.instance):
            return False
        shunned = self._of(upstream).health.is_ejected(self._clock.now_ms())
        return not shunned and upstream.instance not in avoid

    def give_back(
        self, place: Place, outcome: RunOutcome, times: RunTimes, load: UpstreamLoad | None
    ) -> None:
        known = self._of(place.upstream)
        known.own -= 1
        now_ms = self._clock.now_ms()
        known.health.note(outcome, now_ms)
        if outcome is RunOutcome.DONE:
            known.health.note_lag(times.lag_ms, now_ms)
        if load is not None:
            known.others = max(load.running + load.waiting - known.own - 1, 0)
            known.places = max(load.places, 1)
            known.told_ms = now_ms

    def _of(self, upstream: UpstreamRecord) -> _Known:
        if upstream.instance not in self._known:
            self._forget_absent(upstream.service)
            self._known[upstream.instance] = _Known()
        return self._known[upstream.instance]

    def _forget_absent(self, service: str) -> None:
        present = {one.instance for one in self._upstreams(service)}
        for instance, known in list(self._known.items()):
            if instance not in present and not known.own and len(self._known) > 64:
                del self._known[instance]

    def _cost_ms(self, upstream: UpstreamRecord, avoid: tuple[str, ...]) -> float:
        known = self._of(upstream)
        now_ms = self._clock.now_ms()
        busy = float(known.own)
        if now_ms - known.told_ms < LOAD_FRESH_MS:
            busy += known.others
        cost_ms = BUSY_COST_MS * busy / known.places + known.health.cost_ms(now_ms)
        if upstream.data_centre != self._data_centre:
            cost_ms += OTHER_DATA_CENTRE_MS
        if not self._can_take(upstream, avoid):
            cost_ms += AVOIDED_MS
        return cost_ms
