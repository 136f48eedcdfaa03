"""Final answers made by the gateway itself: refusals and broken streams."""

from __future__ import annotations

import logging

from ..clock import Clock
from ..observability.prometheus_metrics import PrometheusMetrics
from ..requests import Executed
from .call import Call
from .caller_reply import CallerReply
from .progress import Progress

log = logging.getLogger(__name__)


class FinalAnswers:
    """Ends calls that get no answer from an upstream, and logs the reason."""

    def __init__(self, clock: Clock, metrics: PrometheusMetrics) -> None:
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
        """End a call without an upstream's answer.

        A streamed answer that has begun is broken off. Otherwise the client gets a refusal whose
        status is valid for all sends of the call together, so it may differ from `status`.
        """
        call = progress.call
        if progress.started:
            log.info("call: id=%s broken off reason=%s", call.request_id, reason)
            self._metrics.count("broken_off")
            reply.break_off()
            return
        # A status that states "not run" must hold for every send, not just for the last one.
        # Otherwise the client repeats a request that an earlier send did run.
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
        """Refuse a call.

        Parameters
        ----------
        reason : str
            Machine-readable cause; also names the metric.
        executed : Executed
            Whether any send may have run the call.
        organisation : str
            Organisation that sent the call; empty if unknown or irrelevant.
        version : int
            Version of the document on which the refusal is based; -1 if irrelevant.
        """
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
