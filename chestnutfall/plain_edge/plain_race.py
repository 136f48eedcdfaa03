"""A call at one upstream, and at others beside it while that one is silent."""

from __future__ import annotations

import itertools
from collections.abc import AsyncGenerator, Callable

from ..clock import Clock
from ..forwarding.upstream_api import SILENT, AnswerLost, NotSent
from ..membership import Upstream
from ..observability.metrics import Metrics
from ..quarantine import RequestQuarantine
from ..requests import NOT_RUN_STATUSES
from ..routing.answer_race import AnswerRace
from ..routing.attempt import Attempt
from .plain_answer import PlainAnswer
from .plain_call import PlainCall
from .plain_calls import CallFailed, PlainCalls


class _TurnedAway(Exception):
    """An upstream did not take the call; its answer is passed on if no other one gives a better."""

    def __init__(self, answer: PlainAnswer) -> None:
        super().__init__()
        self.answer = answer


class PlainRace:
    """Sends calls, and reports the ends of upstreams that these show."""

    def __init__(
        self, calls: PlainCalls, quarantine: RequestQuarantine, clock: Clock, metrics: Metrics
    ) -> None:
        self._calls = calls
        self._quarantine = quarantine
        self._clock = clock
        self._metrics = metrics

    async def answer(
        self, call: PlainCall, upstream: Upstream, choose: Callable[[], Upstream | None]
    ) -> PlainAnswer:
        """Return the first whole answer.

        Parameters
        ----------
        choose : callable
            Returns an upstream that the call was not sent to, or None if it may go to no other.

        Raises
        ------
        NotSent, AnswerLost, CallFailed
            When all sends failed; the error after which the call may have run, if there is one.
        """
        numbers = itertools.count(1)

        def another_id() -> str | None:
            nonlocal upstream
            # The sends so far may have ended their upstreams, and another copy of the call more.
            held = self._quarantine.retry_ms(call.fingerprint) is not None
            other = None if call.at_most_once or held else choose()
            if other is None:
                return None
            upstream = other
            return f"beside-{next(numbers)}"

        def begin(attempt: Attempt) -> AsyncGenerator[PlainAnswer, None]:
            return self._attempt(call, attempt, upstream)

        race = AnswerRace(
            begin, another_id, lambda _: False, _ignore, set(), self._clock, call.service.silent_ms
        )
        race.start(Attempt(call.fingerprint))
        try:
            winner = await race.first()
            if winner is not None:
                return winner.begins.result()
        finally:
            await race.close()
        failure = max(race.failures, key=_rank)
        if isinstance(failure, _TurnedAway):
            return failure.answer
        raise failure

    async def _attempt(
        self, call: PlainCall, attempt: Attempt, upstream: Upstream
    ) -> AsyncGenerator[PlainAnswer, None]:
        if attempt.beside:
            self._metrics.count("plain.beside")

        def on_heard() -> None:
            attempt.heard_ms = self._clock.now_ms()

        began_ms = self._clock.now_ms()
        attempt.upstream = upstream.name
        on_heard()
        try:
            answer = await self._calls.call(call, upstream, on_heard)
        except AnswerLost as exc:
            # A connection that is open and silent tells nothing of the upstream's process.
            if str(exc) != SILENT:
                self._quarantine.note_broken(
                    call.fingerprint, upstream.instance, upstream.address, began_ms
                )
            raise
        if answer.turned_away or answer.response.status in NOT_RUN_STATUSES:
            raise _TurnedAway(answer)
        yield answer


def _ignore() -> None:
    """Do nothing for a send that was not made; plain calls have no budget."""


def _rank(failure: BaseException) -> int:
    """Return how much a failure tells of whether the call may have run."""
    match failure:
        case AnswerLost() | CallFailed():
            return 3
        case _TurnedAway(answer=answer):
            return 1 if answer.not_run else 2
        case NotSent():
            return 0
        case _:
            return 3
