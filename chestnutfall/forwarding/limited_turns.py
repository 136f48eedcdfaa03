"""Selection among plain upstreams of which some state a rate limit."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence

from ..clock import Clock
from ..concurrency.messages import EndTurn
from ..concurrency.turn_messages import AnswerTurn
from ..control.upstream_record import UpstreamRecord
from ..limits.turn_round import NO_UPSTREAM_RETRY_MS
from ..placement import RunOutcome
from ..signals.known_signals import KnownSignals
from .engine_upstream_selector import NO_LEADER_RETRY_MS
from .leader_questions import LeaderLost
from .place import NoPlace, SelectionCriteria

AskForTurn = Callable[[SelectionCriteria, int], Awaitable[AnswerTurn]]
"""Asks the leader for a turn, which the call awaits for at most the given ms; raises LeaderLost."""
WAIT_FRACTION = 0.5
"""Fraction of a call's remaining time in which it may wait for its turn; the rest is for the run.
"""


class LimitedTurns:
    """Sends to rate-limited upstreams within the limits shared by all gateways, else to others.

    The leader gives out turns at limited upstreams. Calls without a turn go to an unlimited
    upstream if there is one.

    Parameters
    ----------
    end_turn : callable
        Tells the leader that a turn ended.
    """

    def __init__(
        self,
        signals: KnownSignals,
        ask: AskForTurn,
        clock: Clock,
        end_turn: Callable[[EndTurn], None],
    ) -> None:
        self._end_turn = end_turn
        self._limits = signals.limits
        self._ask = ask
        self._clock = clock
        self._no_turn_before_ms: dict[str, int] = {}

    async def choose(
        self,
        criteria: SelectionCriteria,
        can_take: Sequence[UpstreamRecord],
        upstreams: Callable[[str], Sequence[UpstreamRecord]],
    ) -> UpstreamRecord:
        """Select the upstream for a call.

        Parameters
        ----------
        can_take : sequence of UpstreamRecord
            Upstreams that could take the call, the best first.
        upstreams : callable
            Returns the present upstreams of a service.

        Raises
        ------
        NoPlace
            When no turn is free in time and every upstream is limited.
        """
        service = criteria.service.name
        unlimited = next(
            (one for one in can_take if self._limits.per_s(one.instance) is None), None
        )
        now_ms = self._clock.now_ms()
        if unlimited is not None and now_ms < self._no_turn_before_ms.get(service, 0):
            return unlimited
        wait_ms = (
            0 if unlimited is not None else int(WAIT_FRACTION * max(criteria.until_ms - now_ms, 0))
        )
        try:
            answer = await self._ask(criteria, wait_ms)
        except LeaderLost:
            return self._without_leader(can_take)
        if answer.held:
            # The service became short of room since this gateway last heard of it. The next load
            # that the upstream reports counts the call.
            self._end_turn(EndTurn(answer.number, answer.instance, RunOutcome.WITHDRAWN.value))
        if not answer.instance:
            self._no_turn_before_ms[service] = self._clock.now_ms() + answer.retry_after_ms
            if unlimited is None:
                raise NoPlace("limited", answer.retry_after_ms)
            return unlimited
        # Read again, since upstreams may have come and gone while the call waited.
        for one in upstreams(service):
            if one.instance == answer.instance:
                return one
        if unlimited is None:
            raise NoPlace("no_upstream", NO_UPSTREAM_RETRY_MS)
        return unlimited

    def _without_leader(self, can_take: Sequence[UpstreamRecord]) -> UpstreamRecord:
        """Select the best upstream to which this gateway may send without a leader."""
        for one in can_take:
            if self._limits.may_send_without_leader(one.instance):
                return one
        raise NoPlace("no_leader", NO_LEADER_RETRY_MS)
