"""Log and count of the ends of clients' requests."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any

from ..clock import Clock
from ..clock.cancelled import was_cancelled
from ..observability.prometheus_metrics import PrometheusMetrics
from ..requests import Executed
from ..requests.awaited import send_while
from .caller_reply import CallerGone, CallerReply
from .ended_reply import EndedReply
from .faults import FAULT, fault_text
from .request_end import Answered, BrokenOff, CallerLeft, Refused, RequestEnd, Stopped

log = logging.getLogger(__name__)
READ_WITHIN_MS = 10_000
"""Time to read the end of an answer beyond the call's own time. The answer stays in memory so long,
and a client that hasn't read it by then has given up."""
STOPPING = "stopping"
"""Reason of an end of a request that is still running as the process ends."""
STOPPING_RETRY_MS = 50
"""Retry delay of such a request that didn't run; another gateway serves it at once."""
FAULT_RETRY_MS = 500
"""Retry delay after such an error of a request that didn't run. Another gateway may serve it at
once, but one that fails every request must not be asked without a pause."""


class RequestEnds:
    """Lets each request of a client end in one way, with one log line and one count.

    The line of a whole answer is that of its last send.
    """

    def __init__(self, clock: Clock, metrics: PrometheusMetrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._running: set[asyncio.Task[Any]] = set()
        self._stopping = False

    def end_all(self) -> None:
        """End all running requests with an answer; called as the process is about to end."""
        self._stopping = True
        for task in tuple(self._running):
            task.cancel()

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
        send_while(lambda: not answer.is_gone())
        try:
            await self._answer(request_id, answer, work)
            if answer.is_sending:
                await self._wait_for_end(answer)
        except CallerGone:
            answer.note_gone()
        except asyncio.CancelledError:
            answer.note_cancelled()
            raise
        except Exception as exc:
            log.error("call: id=%s fault=%s", request_id, fault_text(exc))
            answer.break_off(BrokenOff(FAULT))
        finally:
            if answer.end is not None:
                self._note(request_id, arrived_ms, answer.end)

    async def _wait_for_end(self, answer: EndedReply) -> None:
        """Wait until the client has read an end that the call's time was too short for."""
        try:
            await self._clock.within_ms(READ_WITHIN_MS, answer.delivered())
            answer.note_late()
        except TimeoutError:
            answer.note_unread()

    async def _answer(
        self, request_id: str, answer: EndedReply, work: Callable[[EndedReply], Awaitable[None]]
    ) -> None:
        try:
            with self._counted_as_running():
                await work(answer)
            if answer.end is None:
                raise RuntimeError("the request was given no end")
        except CallerGone:
            raise
        except (Exception, asyncio.CancelledError) as exc:
            # Whoever awaits a cancelled future is raised the same error as by its own end.
            if isinstance(exc, asyncio.CancelledError) and was_cancelled():
                if not self._stopping or answer.is_gone():
                    raise
                await answer.refuse(_refusal(answer, STOPPING, STOPPING_RETRY_MS))
                return
            log.error("call: id=%s fault=%s", request_id, fault_text(exc))
            await answer.refuse(_refusal(answer, FAULT, FAULT_RETRY_MS))

    @contextmanager
    def _counted_as_running(self) -> Iterator[None]:
        task = asyncio.current_task()
        assert task is not None
        self._running.add(task)
        try:
            yield
        finally:
            self._running.discard(task)

    def _note(self, request_id: str, arrived_ms: int, end: RequestEnd) -> None:
        now_ms = self._clock.now_ms()
        ms = now_ms - arrived_ms
        match end:
            case Answered(status, is_late):
                self._metrics.count("ended_answered")
                # The line of its last send tells of any other answer; one more for each would
                # use up the lines that a process may write.
                if is_late:
                    log.info("call: id=%s answered late status=%d ms=%d", request_id, status, ms)
            case Refused():
                self._metrics.count("ended_refused")
                self._metrics.count(f"refused_{end.reason}")
                _log_refusal(request_id, end, ms)
            case BrokenOff(reason):
                self._metrics.count("ended_broken_off")
                self._metrics.count("broken_off")
                log.info("call: id=%s broken off reason=%s ms=%d", request_id, reason, ms)
            case CallerLeft(begun, sends, last_sent_ms):
                self._metrics.count("ended_caller_left")
                log.info(
                    "call: id=%s client closed its connection begun=%d sends=%d sent=%d ms=%d",
                    request_id,
                    begun,
                    sends,
                    now_ms - last_sent_ms if sends else -1,
                    ms,
                )
            case Stopped(begun):
                self._metrics.count("ended_stopped")
                log.info(
                    "call: id=%s ended as the gateway stops begun=%d ms=%d", request_id, begun, ms
                )


def _refusal(answer: EndedReply, reason: str, retry_after_ms: int) -> Refused:
    """Return the refusal of a request that ends on this gateway's side, true of what ran."""
    if answer.may_have_run:
        return Refused(502, reason, Executed.UNKNOWN)
    return Refused(503, reason, Executed.NO, retry_after_ms)


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
