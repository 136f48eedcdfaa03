"""Processing of a request: ticket, dispatch, checks of the answer, resume and retry."""

from __future__ import annotations

import asyncio
import logging
import random

from opentelemetry import trace
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from ..clock import Clock
from ..clock.cancelled import was_cancelled
from ..engine_edge import (
    Batches,
    EngineApi,
    EngineBroken,
    EngineRefused,
    EngineRequest,
)
from ..membership import GatewayAgent, Upstream, UpstreamRegistry
from ..observability.metrics import Metrics
from ..peers import PeerLinks
from ..quarantine import RequestQuarantine
from ..requests import NOT_RUN_STATUSES, CallerRequest, Executed, Refusal, fingerprint_of
from ..signals import UpstreamSignals
from ..signals.known_signals import KnownSignals
from .engine_runs import EngineRuns
from .retry_budget import RetryBudget
from .tickets import RETRY_AFTER_MS, Tickets

log = logging.getLogger(__name__)
MAX_ATTEMPTS = 4
BACKOFF_MS = 50
"""Base of the delay before a retry, which doubles with each attempt."""
INTERNAL_ERROR = "internal_error"
NOT_SENT = "a part of the gateway failed before the request was sent"
SENT = "a part of the gateway failed after the request was sent"
_PROPAGATOR = TraceContextTextMapPropagator()


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
        self._agent = agent
        self._links = links
        self._runs = EngineRuns(api, links, signals, clock, metrics)
        self._quarantine = quarantine
        self._signals = signals
        self._clock = clock
        self._metrics = metrics
        self._tracer = tracer
        self._rng = rng
        self._tickets = Tickets(agent, registry, links, signals, clock, metrics, data_centre)
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
                attempt_id = f"{req.request_id}-{attempt}"
                async for events in self._attempt(req, attempt_id, fingerprint):
                    started = True
                    yield events
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

    async def _attempt(self, req: CallerRequest, attempt_id: str, fingerprint: str) -> Batches:
        parent = _PROPAGATOR.extract(req.trace)
        with self._tracer.start_span("admission", context=parent) as span:
            try:
                engine = await self._acquire_engine(req, attempt_id)
            except (Exception, asyncio.CancelledError) as exc:
                _raise_expected(exc)
                raise EngineRefused(INTERNAL_ERROR, NOT_SENT) from exc
            span.set_attribute("engine", engine.name)
        span = self._tracer.start_span("dispatch", context=parent)
        began_ms = self._clock.now_ms()
        try:
            # The request waited for its ticket. Meanwhile another copy of it may have ended enough
            # engines to be quarantined.
            self._quarantine.check(fingerprint)
            # A gateway that was suspended for a while may have lost its session since it got the
            # ticket. The engine's owner then ignores the ticket and may have evicted the adapter.
            if not self._agent.has_session():
                raise EngineRefused("session_lost", "this gateway lost its session")
            headers: dict[str, str] = {}
            _PROPAGATOR.inject(headers, trace.set_span_in_context(span, parent))
            engine_req = self._engine_request(req, engine, attempt_id, headers)
            async for events in self._runs.run(engine, engine_req):
                yield events
        except EngineBroken as exc:
            instance = engine.instance
            log.info(
                "dispatch: id=%s content=%s instance=%s answer lost or invalid: %s",
                attempt_id,
                fingerprint,
                instance,
                exc.code,
            )
            self._quarantine.note_broken(fingerprint, instance, engine.address, began_ms)
            raise
        except (Exception, asyncio.CancelledError) as exc:
            _raise_expected(exc)
            raise EngineBroken(INTERNAL_ERROR, SENT) from exc
        finally:
            span.end()
            self._links.release_ticket(engine.name, attempt_id)

    async def _acquire_engine(self, req: CallerRequest, attempt_id: str) -> Upstream:
        """Return an engine whose owner granted a ticket and that is not backing off."""
        engine = await self._tickets.acquire(req, attempt_id)
        while not self._signals.may_send(engine.instance):
            # The engine started to back off while the ticket was awaited. Nothing was sent, so
            # another ticket costs no repeat.
            self._links.release_ticket(engine.name, attempt_id)
            engine = await self._tickets.acquire(req, attempt_id)
        return engine

    def _engine_request(
        self, req: CallerRequest, engine: Upstream, attempt_id: str, headers: dict[str, str]
    ) -> EngineRequest:
        sent_ms = self._clock.now_ms()

        def on_signals(signals: UpstreamSignals, succeeded: bool, rejected: bool) -> None:
            self._signals.observe(engine.instance, signals, sent_ms, succeeded, rejected)

        # A pooled connection may have died while it was idle. A request lost on it may have run and
        # could not be repeated. A failure to open a new connection proves that the request did not
        # run.
        return EngineRequest(
            attempt_id,
            req.path,
            req.model,
            req.body,
            req.stream,
            req.priority.rank,
            req.non_idempotent,
            req.silent_ms,
            headers,
            on_signals,
        )


def _raise_expected(exc: BaseException) -> None:
    """Raise `exc` again unless it is an error that no part expects, which is logged."""
    cancelled = isinstance(exc, asyncio.CancelledError) and was_cancelled()
    if cancelled or isinstance(exc, Refusal | EngineRefused | EngineBroken):
        raise exc
    log.error("dispatch: an attempt failed", exc_info=exc)


def _with_executed(refusal: Refusal, executed: Executed) -> Refusal:
    status = 502 if refusal.status in NOT_RUN_STATUSES else refusal.status
    return Refusal(status, refusal.code, refusal.message, executed, refusal.retry_after_ms)
