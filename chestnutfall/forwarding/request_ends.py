"""Log and count of the ends of clients' requests."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from ..clock import Clock
from ..observability.prometheus_metrics import PrometheusMetrics
from .caller_reply import CallerGone, CallerReply
from .ended_reply import EndedReply
from .faults import fault_text, is_cancelled
from .request_end import Answered, BrokenOff, CallerLeft, Refused, RequestEnd, Stopped

log = logging.getLogger(__name__)


class RequestEnds:
    """Lets each request of a client end in one way, with one log line and one count."""

    def __init__(self, clock: Clock, metrics: PrometheusMetrics) -> None:
        self._clock = clock
        self._metrics = metrics

    async def run(
        self,
        request_id: str,
        arrived_ms: int,
        reply: CallerReply,
        work: Callable[[EndedReply], Awaitable[None]],
    ) -> None:
        """Run what answers a request, and record how the request ended.

        Whatever `work` raises ends in an answer to the client. Only the cancellation of the task
        that calls this is passed on.
        """
        answer = EndedReply(reply)
        try:
            await work(answer)
        except CallerGone:
            answer.note_gone()
        except asyncio.CancelledError as exc:
            if is_cancelled():
                answer.note_cancelled()
                raise
            await self._end_after_fault(request_id, answer, exc)
        except Exception as exc:
            await self._end_after_fault(request_id, answer, exc)
        finally:
            if answer.end is not None:
                self._note(request_id, arrived_ms, answer.end)

    async def _end_after_fault(
        self, request_id: str, answer: EndedReply, fault: BaseException
    ) -> None:
        log.error("call: id=%s fault=%s", request_id, fault_text(fault))
        raise fault

    def _note(self, request_id: str, arrived_ms: int, end: RequestEnd) -> None:
        ms = self._clock.now_ms() - arrived_ms
        match end:
            case Answered(status):
                self._metrics.count("ended_answered")
                log.info("call: id=%s answered status=%d ms=%d", request_id, status, ms)
            case Refused():
                self._metrics.count("ended_refused")
                self._metrics.count(f"refused_{end.reason}")
                _log_refusal(request_id, end, ms)
            case BrokenOff(reason):
                self._metrics.count("ended_broken_off")
                self._metrics.count("broken_off")
                log.info("call: id=%s broken off reason=%s ms=%d", request_id, reason, ms)
            case CallerLeft(begun):
                self._metrics.count("ended_client_closed")
                log.info(
                    "call: id=%s client closed its connection begun=%d ms=%d", request_id, begun, ms
                )
            case Stopped(begun):
                self._metrics.count("ended_stopped")
                log.info(
                    "call: id=%s ended as the gateway stops begun=%d ms=%d", request_id, begun, ms
                )


def _log_refusal(request_id: str, end: Refused, ms: int) -> None:
    log.info(
        "call: id=%s refused status=%d reason=%s executed=%s organisation=%s version=%d "
        "retry=%s ms=%d",
        request_id,
        end.status,
        end.reason,
        end.executed.value,
        end.organisation,
        end.version,
        end.retry_after_ms,
        ms,
    )
