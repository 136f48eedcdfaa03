"""Runs of requests on engines: checks of the answers, and resumes."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import NoReturn

from ..clock import Clock
from ..engine_edge import (
    AnswerValidator,
    Batches,
    EngineApi,
    EngineBroken,
    EngineRefused,
    EngineRequest,
)
from ..membership import Upstream
from ..observability.metrics import Metrics
from ..peers import PeerLinks
from ..requests.awaited import send_always
from ..signals import BACKING_OFF
from ..signals.known_signals import KnownSignals
from .run_losses import RunLosses


class EngineRuns:
    """Runs requests on engines, and resumes runs whose connection is lost.

    Parameters
    ----------
    has_ended : callable
        Whether an engine's process is known to have ended, and its runs with it.
    """

    def __init__(
        self,
        api: EngineApi,
        links: PeerLinks,
        signals: KnownSignals,
        has_ended: Callable[[Upstream], Awaitable[bool]],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._api = api
        self._has_ended = has_ended
        self._links = links
        self._signals = signals
        self._clock = clock
        self._metrics = metrics
        self._cancels: set[asyncio.Task[None]] = set()

    async def run(self, engine: Upstream, req: EngineRequest) -> Batches:
        """Run a request on an engine, and yield the checked events of its answer.

        Raises
        ------
        EngineRefused
            When the request provably did not run.
        EngineBroken
            When the answer broke off and can't be resumed.
        """
        validator = AnswerValidator(req.attempt_id, req.model)
        losses = RunLosses(self._clock.now_ms())
        batches = self._api.run(engine.record, req)
        try:
            while not validator.whole:
                try:
                    async for events in self._checked_batches(batches, validator):
                        losses.note_heard(self._clock.now_ms())
                        yield events
                except (EngineBroken, EngineRefused) as exc:
                    if validator.last_number == 0 and isinstance(exc, EngineRefused):
                        raise
                    losses.note(exc)
                    over = losses.is_over(exc, self._clock.now_ms(), req.begin_ms)
                    if over or not _may_resume(exc, req, validator.last_number):
                        self._raise_broken(exc)
                    if losses.unreached and await self._has_ended(engine):
                        self._raise_broken(exc)
                    self._metrics.count("resumes")
                    await self._clock.sleep_ms(self._resume_wait_ms(engine, req, losses))
                    self._links.report_resume(engine.name)
                    batches = self._api.resume(engine.record, req, validator.last_number)
        finally:
            if validator.dropped:
                self._metrics.count("events_dropped", validator.dropped)
            if not validator.whole:
                self._cancel(engine, req.attempt_id)

    @staticmethod
    async def _checked_batches(batches: Batches, validator: AnswerValidator) -> Batches:
        async for batch in batches:
            events, failure = validator.accept(batch)
            if events:
                yield events
            if failure is not None:
                raise failure
            if validator.whole:
                return
        failure = validator.check_end()
        if failure is not None:
            raise failure

    def _resume_wait_ms(self, engine: Upstream, req: EngineRequest, losses: RunLosses) -> float:
        """Return how long to wait before resuming a run, in ms.

        An engine that is leaving is asked without its backoff, since no other engine has the run.

        Raises
        ------
        EngineBroken
            When the engine backs off for longer than the caller waits for an event.
        """
        left_ms = self._signals.backoffs.left_ms(engine.instance)
        if math.isinf(left_ms):
            left_ms = 0.0
        # For the caller, a backoff is a silence of the engine, which still has the run.
        if left_ms > max(losses.heard_ms + req.begin_ms - self._clock.now_ms(), 0):
            raise EngineBroken(BACKING_OFF, "the engine wants nothing before the caller gives up")
        return max(left_ms, losses.wait_ms)

    @staticmethod
    def _raise_broken(exc: EngineBroken | EngineRefused) -> NoReturn:
        if isinstance(exc, EngineBroken):
            raise exc
        # A refusal to resume says nothing about the first dispatch, which may have run.
        raise EngineBroken(exc.code, str(exc)) from exc

    def _cancel(self, engine: Upstream, attempt_id: str) -> None:
        """Cancel the run on the engine in the background; the caller may be gone."""
        task = asyncio.ensure_future(self._send_cancel(engine, attempt_id))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)

    async def _send_cancel(self, engine: Upstream, attempt_id: str) -> None:
        send_always()
        await self._api.cancel(engine.record, attempt_id)


def _may_resume(exc: EngineBroken | EngineRefused, req: EngineRequest, seen: int) -> bool:
    """Whether the run may be resumed to get the rest of its answer.

    Resuming never starts a second run: an engine that does not hold the attempt refuses.
    """
    wrong = exc.code in ("wrong_answer", "wrong_model", "bad_answer", "run_unknown", "run_failed")
    return req.stream and seen > 0 and not wrong
