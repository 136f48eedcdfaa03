"""Choosing a plain upstream where some of them name limits."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence

from ..clock import Clock
from ..control.upstream_record import UpstreamRecord
from ..limits.messages import AnswerTurn
from ..limits.plain_send_queues import NO_UPSTREAM_RETRY_MS
from ..signals.known_signals import KnownSignals
from .engine_places import NO_LEADER_RETRY_MS
from .fleet_client import LeaderLost
from .place import NoPlace, Wanted

AskForTurn = Callable[[Wanted, int], Awaitable[AnswerTurn]]
"""Asks the leader for a send, which may wait for so many ms; raises LeaderLost."""
WAIT_PART = 0.5
"""Part of a call's time in which it may wait for its turn; the rest is for the run."""


class LimitedTurns:
    """Uses limited upstreams as far as all gateways together may, and others for the rest."""

    def __init__(self, signals: KnownSignals, ask: AskForTurn, clock: Clock) -> None:
        self._limits = signals.limits
        self._ask = ask
        self._clock = clock
        self._none_before_ms: dict[str, int] = {}

    async def choose(
        self,
        wanted: Wanted,
        can_take: Sequence[UpstreamRecord],
        upstreams: Callable[[str], Sequence[UpstreamRecord]],
    ) -> UpstreamRecord:
        """The upstream that the call goes to.

        Parameters
        ----------
        can_take : sequence of UpstreamRecord
            Those that could take the call, the best first.

        Raises
        ------
        NoPlace
        """
        service = wanted.service.name
        free = next((one for one in can_take if self._limits.per_s(one.instance) is None), None)
        now_ms = self._clock.now_ms()
        if free is not None and now_ms < self._none_before_ms.get(service, 0):
            return free
        wait_ms = 0 if free is not None else int(WAIT_PART * max(wanted.until_ms - now_ms, 0))
        try:
            answer = await self._ask(wanted, wait_ms)
        except LeaderLost:
            return self._alone(can_take)
        if not answer.instance:
            self._none_before_ms[service] = self._clock.now_ms() + answer.retry_after_ms
            if free is None:
                raise NoPlace("limited", answer.retry_after_ms)
            return free
        # Looked at again: while the call waited, upstreams came and went.
        for one in upstreams(service):
            if one.instance == answer.instance:
                return one
        if free is None:
            raise NoPlace("no_upstream", NO_UPSTREAM_RETRY_MS)
        return free

    def _alone(self, can_take: Sequence[UpstreamRecord]) -> UpstreamRecord:
        """The best one that this gateway may send to without a leader."""
        for one in can_take:
            if self._limits.may_send_without_leader(one.instance):
                return one
        raise NoPlace("no_leader", NO_LEADER_RETRY_MS)
