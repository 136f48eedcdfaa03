"""Sending of a call to its selected upstream."""

from __future__ import annotations

import asyncio
import logging

from ..accounts import AccountFull, MemoryAccount
from ..clock import Clock
from ..observability.prometheus_metrics import PrometheusMetrics
from ..placement import RunOutcome
from ..placement.run_times import NO_TIMES
from ..requests.awaited import Unawaited, check_awaited
from ..routes import Route
from ..signals.known_signals import KnownSignals
from .caller_reply import CallerGone, CallerReply
from .faults import FAULT, fault_text, is_fault
from .place import Place, UpstreamSelector
from .progress import Progress
from .relayed_send import TOO_LARGE, RelayedSend
from .reply_lock import ReplyLock
from .send_result import UNREACHABLE, Failed, HeldBack, Lost, Refused, SendResult
from .silent_upstreams import SilentUpstreams
from .stream_origins import StreamOrigins
from .upstream_answer import NotRun, UpstreamAnswer
from .upstream_api import SILENT, AnswerLost, NotSent, UpstreamApi

log = logging.getLogger(__name__)
_OUTCOMES = {
    NotRun.FULL: RunOutcome.FULL,
    NotRun.REPLACED: RunOutcome.REPLACED,
    NotRun.ABSENT: RunOutcome.ABSENT,
}


class Sender:
    """Sends a call, relays the answer to the client, and releases the place with the outcome.

    Attributes
    ----------
    silent : SilentUpstreams
        What this gateway's sends hear of their upstreams.
    """

    def __init__(
        self,
        api: UpstreamApi,
        signals: KnownSignals,
        origins: StreamOrigins,
        clock: Clock,
        metrics: PrometheusMetrics,
        memory: MemoryAccount,
    ) -> None:
        self._api = api
        self._signals = signals
        self._origins = origins
        self._clock = clock
        self._metrics = metrics
        self._memory = memory
        self.silent = SilentUpstreams(clock)

    def prepare(
        self,
        progress: Progress,
        route: Route,
        place: Place,
        selector: UpstreamSelector,
        reply: CallerReply,
        lock: ReplyLock,
    ) -> RelayedSend:
        """Return a send of the call to its place; nothing is sent yet."""
        return RelayedSend(
            progress,
            route,
            place,
            selector,
            reply,
            lock,
            self.silent,
            self._origins,
            self._memory,
            self._clock,
        )

    async def send(self, sending: RelayedSend) -> SendResult:
        """Send the call once, relay the answer and release the place.

        Nothing is sent if the client has left, if the upstream has started to back off since it was
        selected, or if it is not known any more to run what the call's stream needs. An error that
        nothing expects is the loss of the answer, since the call may have run.

        Raises
        ------
        ReplyTaken
            When another send of the call answers the client.
        CallerGone
            When the client has left.
        """
        outcome: RunOutcome | None = None
        try:
            result, outcome = await self._try(sending)
            return result
        except Unawaited as exc:
            outcome = RunOutcome.WITHDRAWN
            sending.progress.refusals += 1
            self._metrics.count("sends_unawaited")
            raise CallerGone(str(exc)) from exc
        finally:
            if outcome is None:
                outcome = sending.outcome_if_abandoned()
            if sending.first_byte_ms is not None:
                self._metrics.observe("first_byte_ms", sending.first_byte_ms)
            is_withdrawn = outcome is RunOutcome.WITHDRAWN
            sending.release(outcome, NO_TIMES if is_withdrawn else sending.times())

    async def _try(self, sending: RelayedSend) -> tuple[SendResult, RunOutcome]:
        """Send the call if that is still wanted, and return what that means for the upstream.

        Raises
        ------
        Unawaited
            When the client has left before anything was sent.
        """
        check_awaited()
        if not self._may_send(sending):
            return HeldBack(), RunOutcome.WITHDRAWN
        sending.begin()
        try:
            return await self._exchange(sending)
        except Unawaited:
            raise
        except NotSent as exc:
            down = RunOutcome.UNREACHABLE if exc.is_confirmed else RunOutcome.NO_PATH
            return Refused(UNREACHABLE), down
        except AnswerLost as exc:
            return Lost(str(exc)), RunOutcome.BROKEN
        except AccountFull as exc:
            call = sending.progress.call
            log.warning("call: id=%s answer dropped: %s", call.request_id, exc)
            return Lost(TOO_LARGE), RunOutcome.BROKEN
        except (Exception, asyncio.CancelledError) as exc:
            # What the client's connection raises is no loss: its answer has begun, or may have.
            if sending.is_writing or not is_fault(exc):
                raise
            return _lost_by_fault(sending, exc)

    def _may_send(self, sending: RelayedSend) -> bool:
        """Whether the upstream still takes work, and runs what the call's stream needs."""
        progress, place = sending.progress, sending.place
        may_send = self._signals.may_send(place.upstream.instance)
        return may_send and self._origins.may_send(progress, place.upstream)

    async def _exchange(self, sending: RelayedSend) -> tuple[SendResult, RunOutcome]:
        async with self._api.send(sending.forwarded()) as answer:
            sending.progress.helped += answer.is_helped
            self._record_signals(sending.place, answer, sending)
            result = await sending.relay(answer)
        return result, _outcome(answer, result)

    def _record_signals(self, place: Place, answer: UpstreamAnswer, sending: RelayedSend) -> None:
        load = answer.signals.load
        # An answer of another incarnation at the address says nothing about the selected upstream.
        if answer.not_run is not NotRun.REPLACED:
            rejected = answer.not_run is NotRun.FULL and not answer.asks_backoff
            self._signals.observe(
                place.upstream.instance, answer.signals, sending.sent_ms, answer.ok, rejected
            )
            if load is not None:
                sending.selector.note_load(place, load)
        if load is not None and load.has_unread_figures:
            self._metrics.count("load_figures_unread")


def _outcome(answer: UpstreamAnswer, result: SendResult) -> RunOutcome:
    if answer.asks_backoff:
        # The upstream is healthy and stated when it accepts work again. This counts neither as a
        # failure nor as a sign of missing capacity.
        return RunOutcome.TURNED_AWAY
    if answer.not_run is not None:
        return _OUTCOMES[answer.not_run]
    match result:
        case Failed(status=status) if status >= 500:
            return RunOutcome.BROKEN
        case Lost():
            return RunOutcome.BROKEN
        case _:
            return RunOutcome.DONE


def _lost_by_fault(sending: RelayedSend, exc: BaseException) -> tuple[SendResult, RunOutcome]:
    """Return the loss of an answer by an error that nothing expects."""
    if isinstance(exc, TimeoutError):
        return Lost(SILENT), RunOutcome.BROKEN
    # It says nothing of the upstream, so that the outcome is that of a send that was left.
    log.error("call: id=%s fault=%s", sending.progress.call.request_id, fault_text(exc))
    return Lost(FAULT), sending.outcome_if_abandoned()
