"""Turns of calls to plain services that are short of room."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import replace

from ..clock import Clock
from ..concurrency.known_room import KnownRoom
from ..concurrency.messages import EndTurn
from ..concurrency.turn_messages import PLENTY, AnswerTurn
from ..control.upstream_record import UpstreamRecord
from ..limits.known_limits import KnownLimits
from ..limits.turn_round import NO_UPSTREAM_RETRY_MS
from ..placement import RunOutcome
from .engine_upstream_selector import NO_LEADER_RETRY_MS
from .leader_questions import LeaderLost
from .limited_turns import WAIT_FRACTION, AskForTurn
from .place import NoPlace, SelectionCriteria

LEADERLESS_POLL_MS = 20
"""How often a call without a leader checks whether it may be sent."""


class RoomTurns:
    """Asks the leader for a turn for each call to a service that is short of room.

    Parameters
    ----------
    end_turn : callable
        Tells the leader that a turn ended.
    """

    def __init__(
        self,
        room: KnownRoom,
        limits: KnownLimits,
        ask: AskForTurn,
        end_turn: Callable[[EndTurn], None],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._room = room
        self._limits = limits
        self._ask = ask
        self._end_turn = end_turn
        self._clock = clock
        self._rng = rng

    async def choose(
        self,
        criteria: SelectionCriteria,
        can_take: Sequence[UpstreamRecord],
        upstreams: Callable[[str], Sequence[UpstreamRecord]],
    ) -> tuple[UpstreamRecord, int | None] | None:
        """Select the upstream for a call; return it and the number of its turn, if it holds one.

        Returns None if the service has plenty of room by now.

        Parameters
        ----------
        can_take : sequence of UpstreamRecord
            Upstreams that could take the call, the best first.
        upstreams : callable
            Returns the present upstreams of a service.

        Raises
        ------
        NoPlace
            When the call can't be served in its time.
        """
        service = criteria.service.name
        asking = replace(criteria, needs_room=True)
        began_ms = self._clock.now_ms()
        wait_until_ms = began_ms + WAIT_FRACTION * (criteria.until_ms - began_ms)
        while self._room.is_short(service):
            if self._room.asks_leader():
                try:
                    answer = await self._ask(asking, self._left_ms(criteria))
                except LeaderLost:
                    self._room.unanswered()
                else:
                    self._room.answered()
                    if answer.reason == PLENTY:
                        return None
                    return self._chosen(answer, upstreams(service))
            if self._room.may_send_without_leader(service):
                chosen = self._without_leader(can_take)
                if chosen is not None:
                    return chosen, None
            if self._clock.now_ms() >= wait_until_ms:
                raise NoPlace("no_leader", NO_LEADER_RETRY_MS)
            await self._clock.sleep_ms(LEADERLESS_POLL_MS)
        return None

    def _without_leader(self, can_take: Sequence[UpstreamRecord]) -> UpstreamRecord | None:
        """Select an upstream that accepts one more request by its limit, if any.

        Every gateway sees the same loads. If all chose the best upstream, it would get all calls.
        """
        for one in self._rng.sample(can_take, len(can_take)):
            if self._limits.may_send_without_leader(one.instance):
                return one
        return None

    def _left_ms(self, criteria: SelectionCriteria) -> int:
        return max(criteria.until_ms - self._clock.now_ms(), 1)

    def _chosen(
        self, answer: AnswerTurn, upstreams: Sequence[UpstreamRecord]
    ) -> tuple[UpstreamRecord, int | None]:
        if not answer.instance:
            raise NoPlace(answer.reason, answer.retry_after_ms)
        number = answer.number if answer.held else None
        # Read again, since upstreams may have come and gone while the call waited.
        for one in upstreams:
            if one.instance == answer.instance:
                return one, number
        if number is not None:
            self._end_turn(EndTurn(number, answer.instance, RunOutcome.WITHDRAWN.value))
        raise NoPlace("no_upstream", NO_UPSTREAM_RETRY_MS)
