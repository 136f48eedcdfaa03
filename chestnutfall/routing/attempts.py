"""Attempts of requests: a ticket, the send, and the checked answer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence

from opentelemetry import trace
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from ..clock import Clock
from ..clock.cancelled import was_cancelled
from ..engine_edge import Batches, EngineBroken, EngineRefused, EngineRequest
from ..forwarding.silent_upstreams import LASTING_MS, SilentUpstreams
from ..membership import GatewayAgent, Upstream
from ..peers import PeerLinks
from ..quarantine import RequestQuarantine
from ..requests import CallerRequest, Refusal
from ..requests.awaited import Unawaited
from ..signals import UpstreamSignals
from ..signals.known_signals import KnownSignals
from .after_answer import after_answer
from .attempt import Attempt
from .engine_runs import EngineRuns
from .tickets import Tickets

log = logging.getLogger(__name__)
INTERNAL_ERROR = "internal_error"
NOT_SENT = "a part of the gateway failed before the request was sent"
SENT = "a part of the gateway failed after the request was sent"
_PROPAGATOR = TraceContextTextMapPropagator()


class Attempts:
    """Runs single attempts; each ends with an answer, or an error that says what may have run."""

    def __init__(
        self,
        agent: GatewayAgent,
        links: PeerLinks,
        tickets: Tickets,
        runs: EngineRuns,
        quarantine: RequestQuarantine,
        signals: KnownSignals,
        clock: Clock,
        tracer: trace.Tracer,
    ) -> None:
        self._agent = agent
        self._links = links
        self._tickets = tickets
        self._runs = runs
        self._quarantine = quarantine
        self._signals = signals
        self._clock = clock
        self._tracer = tracer
        self._silent = SilentUpstreams(clock)

    async def run(self, req: CallerRequest, attempt: Attempt, fingerprint: str) -> Batches:
        """Get a ticket, send the request, and yield the checked events of its answer.

        Raises
        ------
        Refusal
            When no engine takes the request; nothing ran.
        EngineRefused
            When it provably did not run.
        EngineBroken
            When the answer broke off; it may have run.
        """
        parent = _PROPAGATOR.extract(req.trace)
        engine = await self._admitted_engine(req, attempt)
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
            engine_req = self._engine_request(req, engine, attempt.attempt_id, headers)
            attempt.heard_ms = self._clock.now_ms()
            async for events in self._heard(req, attempt, self._runs.run(engine, engine_req)):
                yield events
        except EngineBroken as exc:
            self._note_broken(exc, attempt, fingerprint, engine, began_ms)
            raise
        except (Exception, asyncio.CancelledError) as exc:
            _raise_expected(exc)
            raise EngineBroken(INTERNAL_ERROR, SENT) from exc
        finally:
            span.end()
            with after_answer("release of a ticket"):
                self._links.release_ticket(engine.name, attempt.attempt_id)

    def reason_to_wait(self, req: CallerRequest, silent: Sequence[Attempt]) -> str:
        """Return why a request should wait for its silent attempts; empty if it should not.

        Parameters
        ----------
        silent : sequence of Attempt
            Attempts that were sent, the newest last.
        """
        newest = silent[-1]
        # One that is silent for longer than a pause hangs, whatever the others do.
        now_ms = self._clock.now_ms()
        if newest.heard_ms is None or newest.is_silent(now_ms, LASTING_MS):
            return ""
        silent_ms = now_ms - newest.heard_ms
        instances = [one.instance for one in silent]
        return self._silent.reason_to_wait(req.service, instances, silent_ms, req.silent_ms)

    async def _heard(self, req: CallerRequest, attempt: Attempt, answer: Batches) -> Batches:
        """Yield the events of an answer, and note when its engine is silent before the first."""
        instance, waits = attempt.instance, True
        self._silent.began(req.service, instance, req.silent_ms)
        try:
            async for events in answer:
                self._silent.heard(instance)
                if waits:
                    waits = False
                    self._silent.ended(instance, req.silent_ms, was_silent=False)
                yield events
            self._silent.answered(instance, whole=True)
        except EngineBroken:
            self._silent.answered(instance, whole=False)
            raise
        finally:
            if waits:
                was_silent = attempt.is_silent(self._clock.now_ms(), req.silent_ms)
                self._silent.ended(instance, req.silent_ms, was_silent)

    def _note_broken(
        self, exc: EngineBroken, attempt: Attempt, fingerprint: str, engine: Upstream, began_ms: int
    ) -> None:
        log.info(
            "dispatch: id=%s content=%s instance=%s answer lost or invalid: %s",
            attempt.attempt_id,
            fingerprint,
            engine.instance,
            exc.code,
        )
        # A connection that is open and silent tells nothing of the engine's process.
        if not exc.is_silence:
            self._quarantine.note_broken(fingerprint, engine.instance, engine.address, began_ms)

    async def _admitted_engine(self, req: CallerRequest, attempt: Attempt) -> Upstream:
        parent = _PROPAGATOR.extract(req.trace)
        with self._tracer.start_span("admission", context=parent) as span:
            try:
                engine = await self._acquire_engine(req, attempt)
            except (Exception, asyncio.CancelledError) as exc:
                _raise_expected(exc)
                raise EngineRefused(INTERNAL_ERROR, NOT_SENT) from exc
            span.set_attribute("engine", engine.name)
            return engine

    async def _acquire_engine(self, req: CallerRequest, attempt: Attempt) -> Upstream:
        """Return an engine whose owner granted a ticket and that is not backing off."""
        engine = await self._tickets.acquire(req, attempt)
        while not self._signals.may_send(engine.instance):
            # The engine started to back off while the ticket was awaited. Nothing was sent, so
            # another ticket costs no repeat.
            self._links.release_ticket(engine.name, attempt.attempt_id)
            engine = await self._tickets.acquire(req, attempt)
        attempt.upstream, attempt.instance = engine.name, engine.instance
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
            max(req.deadline_ms - sent_ms, req.silent_ms),
            headers,
            on_signals,
        )


def _raise_expected(exc: BaseException) -> None:
    """Raise `exc` again unless it is an error that no part expects, which is logged."""
    cancelled = isinstance(exc, asyncio.CancelledError) and was_cancelled()
    if cancelled or isinstance(exc, Refusal | EngineRefused | EngineBroken | Unawaited):
        raise exc
    log.error("dispatch: an attempt failed", exc_info=exc)
