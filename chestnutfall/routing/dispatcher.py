"""Processing of a request: ticket, dispatch, checks of the answer, resume and retry."""

from __future__ import annotations

import logging
import random
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

from opentelemetry import trace

from ..clock import Clock
from ..engine_edge import (
    AnswerEvent,
    Batches,
    EngineApi,
    EngineBroken,
    EngineRefused,
)
from ..membership import GatewayAgent, Upstream, UpstreamRegistry
from ..observability.metrics import Metrics
from ..peers import PeerLinks
from ..quarantine import RequestQuarantine
from ..requests import NOT_RUN_STATUSES, CallerRequest, Executed, Refusal, fingerprint_of
from ..signals.known_signals import KnownSignals
from .after_answer import after_answer
from .answer_race import AnswerRace, Runner
from .attempt import Attempt
from .attempts import Attempts
from .engine_runs import EngineRuns
from .retry_budget import RetryBudget
from .tickets import RETRY_AFTER_MS, Tickets

log = logging.getLogger(__name__)
MAX_ATTEMPTS = 4
BACKOFF_MS = 50
"""Base of the delay before a retry, which doubles with each attempt."""


class Dispatcher:
    """Runs requests on engines, with as many attempts as needed and allowed."""

    def __init__(
        self,
        agent: GatewayAgent,
        registry: UpstreamRegistry,
        links: PeerLinks,
        api: EngineApi,
        quarantine: RequestQuarantine,
        signals: KnownSignals,
        clock: Clock,
        metrics: Metrics,
        tracer: trace.Tracer,
        rng: random.Random,
        data_centre: str,
    ) -> None:
        self._registry = registry
        self._quarantine = quarantine
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._tickets = Tickets(agent, registry, links, signals, clock, metrics, data_centre)
        runs = EngineRuns(api, links, signals, self._has_ended, clock, metrics)
        self._attempts = Attempts(
            agent, links, self._tickets, runs, quarantine, signals, clock, tracer
        )
        self._budget = RetryBudget()

    async def answer(self, req: CallerRequest) -> Batches:
        """Run a request and yield the events of its answer.

        Yields batches of events as they arrive; the last event comes only if the answer is whole.

        Raises
        ------
        Refusal
            When no engine gives an answer, or the answer breaks off after events were yielded.
        """
        self._budget.earn()
        executed = Executed.NO
        fingerprint = fingerprint_of(req.caller, req.path, req.body)
        for attempt in range(1, MAX_ATTEMPTS + 1):
            self._quarantine.check(fingerprint, executed)
            started = False
            try:
                async with self._race(req, attempt, fingerprint) as winner:
                    started = True
                    yield winner.begins.result()
                    async for events in winner.answer:
                        yield events
                with after_answer("report of an answer"):
                    self._quarantine.note_answered(fingerprint)
                return
            except Refusal as refusal:
                # A refused ticket for a repeat proves nothing about the previous attempt.
                if executed is Executed.NO:
                    raise
                raise _with_executed(refusal, executed) from refusal
            except EngineRefused as exc:
                failure: EngineRefused | EngineBroken = exc
                if exc.final:
                    raise Refusal(400, exc.code, str(exc), executed) from exc
            except EngineBroken as exc:
                failure = exc
                executed = Executed.YES if started else Executed.UNKNOWN
                self._metrics.count(f"broken.{exc.code}")
                if started or req.non_idempotent:
                    raise Refusal(502, exc.code, str(exc), executed) from exc
            await self._before_retry(req, attempt, failure, executed)
        raise AssertionError("the last attempt returns or raises")

    @asynccontextmanager
    async def _race(
        self, req: CallerRequest, number: int, fingerprint: str
    ) -> AsyncIterator[Runner[Sequence[AnswerEvent]]]:
        """Hold an attempt that begins to answer, or one that began beside it while it was silent.

        The events are passed on from there without a step in between, which each of them would
        pay for.
        """
        first = Attempt(f"{req.request_id}-{number}")
        beside = unsent = 0

        def another_id() -> str | None:
            nonlocal beside
            if req.non_idempotent or not self._budget.spend():
                return None
            self._metrics.count("attempts_beside")
            beside += 1
            return f"{req.request_id}-b{number}{beside}"

        def on_unsent() -> None:
            nonlocal unsent
            unsent += 1
            self._budget.give_back()

        def begin(attempt: Attempt) -> Batches:
            return self._attempts.run(req, attempt, fingerprint)

        race = AnswerRace(begin, another_id, on_unsent, self._clock, req.silent_ms)
        race.start(first)
        try:
            winner = await race.first()
            if winner is None:
                raise _most_telling(race.failures)
            # A pause of all engines would otherwise take the budget from failures that follow it.
            for _ in range(beside - unsent - (winner.attempt is not first)):
                self._budget.give_back()
            await race.drop_others(winner)
            yield winner
        finally:
            await race.close()

    async def _has_ended(self, engine: Upstream) -> bool:
        """Whether another process has the engine's name, or its port is known to be closed."""
        known = self._registry.get(engine.name)
        if known is not None and known.instance != engine.instance:
            return True
        return await self._quarantine.has_ended(engine.address)

    async def _before_retry(
        self,
        req: CallerRequest,
        attempt: int,
        failure: EngineRefused | EngineBroken,
        executed: Executed,
    ) -> None:
        self._tickets.refuse_if_held_back(req, executed)
        wait_ms = self._rng.uniform(0.5, 1.5) * BACKOFF_MS * 2**attempt
        late = self._clock.now_ms() + wait_ms >= req.deadline_ms
        if attempt == MAX_ATTEMPTS or late or not self._budget.spend():
            retry_after_ms = (
                RETRY_AFTER_MS if not req.non_idempotent or executed is Executed.NO else None
            )
            status = 503 if executed is Executed.NO else 502
            raise Refusal(status, failure.code, str(failure), executed, retry_after_ms)
        self._metrics.count("retries")
        await self._clock.sleep_ms(wait_ms)


def _most_telling(failures: Sequence[BaseException]) -> BaseException:
    """Return the failure after which the request may have run, if there is one."""
    return next((one for one in failures if isinstance(one, EngineBroken)), failures[0])


def _with_executed(refusal: Refusal, executed: Executed) -> Refusal:
    status = 502 if refusal.status in NOT_RUN_STATUSES else refusal.status
    return Refusal(status, refusal.code, refusal.message, executed, refusal.retry_after_ms)
