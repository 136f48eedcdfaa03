"""Final answers of our own: refusals and broken streams."""

from __future__ import annotations

import logging

from ..clock import Clock
from ..observability.histograms import Histograms
from ..requests import Executed
from .call import Call
from .caller_reply import CallerReply
from .progress import Progress

log = logging.getLogger(__name__)


class FinalAnswers:
    """Tells callers, and the log, that a call gets no other answer."""

    def __init__(self, clock: Clock, metrics: Histograms) -> None:
        self._clock = clock
        self._metrics = metrics

    async def give_up(
        self,
        progress: Progress,
        reply: CallerReply,
        status: int,
        reason: str,
        retry_after_ms: int | None,
    ) -> None:
        """End a call; what the caller is told holds for all of its sends."""
        call = progress.call
        if progress.started:
            log.info("call: id=%s broken off reason=%s", call.request_id, reason)
            self._metrics.count("broken_off")
            reply.break_off()
            return
        # A refusal that says "not run" must hold for every send, not just for the last one.
        # Symptom otherwise: the caller repeats a request whose first send did run.
        executed = Executed.UNKNOWN if progress.runs else Executed.NO
        if status == 503 and executed is not Executed.NO:
            status = 502
        if status == 504 and not progress.may_have_run:
            status = 503
        await self.refuse(call, reply, status, reason, executed, retry_after_ms)

    async def refuse(
        self,
        call: Call,
        reply: CallerReply,
        status: int,
        reason: str,
        executed: Executed,
        retry_after_ms: int | None,
        organisation: str = "",
        version: int = -1,
    ) -> None:
        """Refuse a call; `organisation` and document `version` are those that decided it."""
        log.info(
            "call: id=%s refused status=%d reason=%s executed=%s organisation=%s version=%d "
            "retry=%s ms=%d",
            call.request_id,
            status,
            reason,
            executed.value,
            organisation,
            version,
            retry_after_ms,
            self._clock.now_ms() - call.arrived_ms,
        )
        self._metrics.count(f"refused_{reason}")
        await reply.refuse(status, reason, retry_after_ms)
