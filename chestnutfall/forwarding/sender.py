"""Sending of a call to its selected upstream."""

from __future__ import annotations

import statistics
from collections.abc import Iterable

from ..clock import Clock
from ..observability.prometheus_metrics import PrometheusMetrics
from ..placement import RunOutcome
from ..placement.run_times import NO_TIMES, RunTimes
from ..routes import Route
from ..signals import NO_SIGNALS, AskedBackoff, UpstreamLoad
from ..signals.known_signals import KnownSignals
from .answer_timeouts import first_byte_timeout_ms, pause_timeout_ms
from .caller_reply import CallerReply
from .event_splitter import EventSplitter, StreamEvent
from .forwarded_call import ForwardedCall
from .place import Place, UpstreamSelector
from .progress import Progress
from .send_result import TURNED_AWAY, Delivered, Failed, HeldBack, Lost, Refused, SendResult
from .stream_origins import StreamOrigins
from .upstream_answer import NotRun, UpstreamAnswer
from .upstream_api import SILENT, AnswerLost, NotSent, UpstreamApi

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Limit on one buffered answer; usual ones are below 100 KB."""
PAST_DEADLINE_MS = 1_000
"""Added to the silence timeout of calls that can't move, so that the call's own deadline ends them
first."""
_OUTCOMES = {
    NotRun.FULL: RunOutcome.FULL,
    NotRun.REPLACED: RunOutcome.REPLACED,
    NotRun.ABSENT: RunOutcome.ABSENT,
}


class Sender:
    """Sends a call, relays the answer to the client, and releases the place with the outcome."""

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

    async def send(
        self,
        progress: Progress,
        route: Route,
        place: Place,
        selector: UpstreamSelector,
        reply: CallerReply,
    ) -> SendResult:
        """Send the call once and relay the answer.

        Nothing is sent if the upstream has started to back off since it was selected, or if it is
        not known any more to run what the call's stream needs.
        """
        progress.signals = NO_SIGNALS
        may_send = self._signals.may_send(place.upstream.instance)
        if not may_send or not self._origins.may_send(progress, place.upstream):
            selector.release(place, RunOutcome.WITHDRAWN, NO_TIMES, None)
            return HeldBack()
        sending = _Sending(self._clock, progress, route, place, reply, self._origins)
        outcome: RunOutcome | None = None
        try:
            async with self._api.send(sending.forwarded()) as answer:
                progress.helped += answer.is_helped
                self._record_signals(place, answer, sending.sent_ms, selector)
                result = await sending.relay(answer)
            outcome = _outcome(answer, result)
            return result
        except NotSent as exc:
            outcome = RunOutcome.UNREACHABLE if exc.is_confirmed else RunOutcome.NO_PATH
            return Refused("unreachable")
        except AnswerLost as exc:
            outcome = RunOutcome.BROKEN
            return Lost(str(exc))
        except TimeoutError:
            outcome = RunOutcome.BROKEN
            return Lost(SILENT)
        finally:
            if outcome is None:
                outcome = sending.outcome_if_abandoned()
            if sending.first_byte_ms is not None:
                self._metrics.observe("first_byte_ms", sending.first_byte_ms)
            selector.release(place, outcome, sending.times(), sending.load)

    def _record_signals(
        self, place: Place, answer: UpstreamAnswer, sent_ms: int, selector: UpstreamSelector
    ) -> None:
        load = answer.signals.load
        # An answer of another incarnation at the address says nothing about the selected upstream.
        if answer.not_run is not NotRun.REPLACED:
            rejected = answer.not_run is NotRun.FULL and not _asks_backoff(answer)
            self._signals.observe(
                place.upstream.instance, answer.signals, sent_ms, answer.ok, rejected
            )
            if load is not None:
                selector.note_load(place, load)
        if load is not None and load.has_unread_figures:
            self._metrics.count("load_figures_unread")


class _Sending:
    """State of one send of a call to one upstream; `Progress` holds that of the whole call."""

    def __init__(
        self,
        clock: Clock,
        progress: Progress,
        route: Route,
        place: Place,
        reply: CallerReply,
        origins: StreamOrigins,
    ) -> None:
        self._origins = origins
        self._clock = clock
        self._progress = progress
        self._route = route
        self._place = place
        self._reply = reply
        self.sent_ms = clock.now_ms()
        self.first_byte_ms: int | None = None
        self._answering = False
        self._misses_event = False
        self.load: UpstreamLoad | None = None

    def forwarded(self) -> ForwardedCall:
        return ForwardedCall(
            self._progress.call,
            self._place.upstream,
            self._place.version,
            self._route.rank,
            max(self._progress.until_ms - self.sent_ms, 1),
            self._progress.last_event,
            runs_once=not self._route.kind.idempotent,
            silent_ms=self._silent_ms(),
            organisation=self._progress.organisation,
        )

    def times(self) -> RunTimes:
        """Return how fast the upstream answered."""
        gaps_ms = self._progress.gaps_ms
        gap_ms = statistics.median(gaps_ms) if gaps_ms else 0.0
        first_ms = self.first_byte_ms or 0.0
        lag_ms = max(first_ms - self._route.objective_ms / 4, 0.0)
        return RunTimes(first_ms, lag_ms, gap_ms)

    def outcome_if_abandoned(self) -> RunOutcome:
        """Return the outcome for the upstream if the gateway stops waiting for the answer."""
        # A call that may not be repeated waits until its own deadline. If that counted as no
        # failure, a hung upstream would look as good as any other.
        silent_ms = self._clock.now_ms() - self.sent_ms
        hung = not self._answering and silent_ms > first_byte_timeout_ms(
            self._route, self._progress.call
        )
        return RunOutcome.BROKEN if hung else RunOutcome.LEFT

    async def relay(self, answer: UpstreamAnswer) -> SendResult:
        self.load = answer.signals.load
        self._progress.signals = answer.signals
        self._answering = True
        if answer.not_run is not None:
            return Refused(_refusal(answer, answer.not_run))
        if not answer.ok:
            return Failed(answer.status, answer.headers, await _read_whole(answer))
        if self._route.kind.streamed:
            if answer.written_by not in ("", self._place.upstream.announced_name):
                return Lost("answer_of_another_instance")
            return await self._relay_events(answer)
        body = await _read_whole(answer)
        self._note_first_byte()
        self._progress.note_part(self._clock.now_ms())
        await self._reply.send_whole(answer.status, answer.headers, body)
        return Delivered()

    async def _relay_events(self, answer: UpstreamAnswer) -> SendResult:
        if not self._progress.started:
            await self._reply.start(answer.status, answer.headers)
            self._progress.started = True
        splitter = EventSplitter()
        async for data in answer.body:
            in_order = self._take_in_order(splitter.feed(data))
            if in_order:
                # Events that arrived together go out together: a write for each would be a third
                # of what an event costs.
                await self._reply.write(b"".join(in_order))
            if self._misses_event:
                return Lost("event_missing")
        if not splitter.at_event_boundary:
            return Lost("cut_in_event")
        await self._reply.finish()
        return Delivered()

    def _take_in_order(self, events: Iterable[StreamEvent]) -> list[bytes]:
        """Return the events up to the first one that does not follow its predecessor."""
        taken: list[bytes] = []
        for event in events:
            if self.first_byte_ms is None:
                self._note_first_byte()
                place = self._place
                self._origins.began(self._progress, place.upstream, place.is_recorded)
            if event.number is not None:
                if self._is_out_of_order(event.number):
                    self._misses_event = True
                    break
                self._progress.last_event = event.number
            self._progress.note_part(self._clock.now_ms())
            taken.append(event.data)
        return taken

    def _silent_ms(self) -> float:
        """Return how long the upstream may be silent before the answer counts as lost.

        If the call can't be sent to another upstream, only the call's deadline ends the wait.
        """
        if not self._may_resend_elsewhere():
            return self._progress.until_ms - self.sent_ms + PAST_DEADLINE_MS
        first_ms = first_byte_timeout_ms(self._route, self._progress.call)
        return (
            max(first_ms, pause_timeout_ms(self._route)) if self._route.kind.streamed else first_ms
        )

    def _may_resend_elsewhere(self) -> bool:
        # The last upstream of a service answers late if it is overloaded. A call that gives up on
        # it wastes the work done there and starts again at the end of its queue: 275 of 944 calls
        # were lost this way after three of four upstreams had gone.
        if not self._place.has_other:
            return False
        return self._route.kind.idempotent and self._progress.runs + 1 < self._route.attempts

    def _is_out_of_order(self, number: int) -> bool:
        last = self._progress.last_event
        return last is not None and number != last + 1

    def _note_first_byte(self) -> None:
        self.first_byte_ms = self._clock.now_ms() - self.sent_ms


async def _read_whole(answer: UpstreamAnswer) -> bytes:
    body = bytearray()
    async for data in answer.body:
        body += data
        if len(body) > MAX_ANSWER_BYTES:
            raise AnswerLost("answer_too_large")
    return bytes(body)


def _asks_backoff(answer: UpstreamAnswer) -> bool:
    """Whether the selected upstream itself asks this gateway to back off."""
    is_meant = answer.not_run is not NotRun.REPLACED
    return is_meant and isinstance(answer.signals.backoff, AskedBackoff)


def _refusal(answer: UpstreamAnswer, not_run: NotRun) -> str:
    return TURNED_AWAY if _asks_backoff(answer) else not_run.value


def _outcome(answer: UpstreamAnswer, result: SendResult) -> RunOutcome:
    if _asks_backoff(answer):
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
