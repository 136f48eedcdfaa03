"""Sending of a call to its selected upstream."""

from __future__ import annotations

import asyncio
import logging

from ..clock import Clock
from ..observability.prometheus_metrics import PrometheusMetrics
from ..placement import RunOutcome
from ..placement.run_times import NO_TIMES
from ..requests.awaited import Unawaited, check_awaited
from ..routes import Route
from ..signals.known_signals import KnownSignals
from ..wire.buffer_budget import BufferBudget, BuffersFull
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
    ) -> None:
        self._api = api
        self._signals = signals
        self._origins = origins
        self._clock = clock
        self._metrics = metrics
        self._buffers = BufferBudget()
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
            self._buffers,
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
        progress, place = sending.progress, sending.place
        outcome: RunOutcome | None = None
        try:
            check_awaited()
            may_send = self._signals.may_send(place.upstream.instance)
            if not may_send or not self._origins.may_send(progress, place.upstream):
                outcome = RunOutcome.WITHDRAWN
                return HeldBack()
            sending.begin()
            async with self._api.send(sending.forwarded()) as answer:
                progress.helped += answer.is_helped
                self._record_signals(place, answer, sending)
                result = await sending.relay(answer)
            outcome = _outcome(answer, result)
            return result
        except Unawaited as exc:
            outcome = RunOutcome.WITHDRAWN
            progress.refusals += 1
            self._metrics.count("sends_unawaited")
            raise CallerGone(str(exc)) from exc
        except NotSent as exc:
            outcome = RunOutcome.UNREACHABLE if exc.is_confirmed else RunOutcome.NO_PATH
            return Refused(UNREACHABLE)
        except AnswerLost as exc:
            outcome = RunOutcome.BROKEN
            return Lost(str(exc))
        except BuffersFull as exc:
            log.warning("call: id=%s answer dropped: %s", progress.call.request_id, exc)
            outcome = RunOutcome.BROKEN
            return Lost(TOO_LARGE)
        except (Exception, asyncio.CancelledError) as exc:
            # What the client's connection raises is no loss: its answer has begun, or may have.
            if sending.is_writing or not is_fault(exc):
                raise
            if isinstance(exc, TimeoutError):
                outcome = RunOutcome.BROKEN
                return Lost(SILENT)
            # It says nothing of the upstream, so that the outcome is that of a send that was left.
            log.error("call: id=%s fault=%s", progress.call.request_id, fault_text(exc))
            return Lost(FAULT)
        finally:
            if outcome is None:
                outcome = sending.outcome_if_abandoned()
            if sending.first_byte_ms is not None:
                self._metrics.observe("first_byte_ms", sending.first_byte_ms)
            sending.release(
                outcome, NO_TIMES if outcome is RunOutcome.WITHDRAWN else sending.times()
            )

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
