"""One send of a call to one upstream, and the relay of its answer."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Iterable

from ..accounts import AccountFull, Holder, MemoryAccount
from ..clock import Clock
from ..placement import RunOutcome
from ..placement.run_times import RunTimes
from ..routes import Route
from ..signals import NO_SIGNALS, UpstreamLoad, UpstreamSignals
from .answer_timeouts import patience_ms
from .caller_reply import CallerReply
from .event_splitter import EventSplitter, StreamEvent
from .forwarded_call import ForwardedCall
from .place import Place, UpstreamSelector
from .progress import Progress
from .reply_lock import ReplyLock
from .send_result import TURNED_AWAY, Delivered, Failed, Lost, Refused, SendResult
from .silent_upstreams import SilentUpstreams
from .stream_origins import StreamOrigins
from .upstream_answer import UpstreamAnswer
from .upstream_api import AnswerLost

TOO_LARGE = "answer_too_large"
"""Code of an answer lost because it takes too much memory."""
MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Limit on one answer that is no stream; usual ones are below 100 KB."""
PAST_DEADLINE_MS = 1_000
"""How much later than the call's deadline a silent connection counts as lost. The deadline ends the
call first: silence alone is no reason to."""
_TELLING_OUTCOMES = (
    RunOutcome.DONE,
    RunOutcome.BROKEN,
    RunOutcome.UNREACHABLE,
    RunOutcome.NO_PATH,
    RunOutcome.REPLACED,
)
"""Ends of a send that tell whether the upstream answers."""


class RelayedSend:
    """State of one send; `Progress` holds that of the whole call.

    Attributes
    ----------
    number : int
        Its number among the sends of the call.
    sent_ms : int
        Clock time at which it began.
    first_byte_ms : int or None
        Time from `sent_ms` to the first part of the answer.
    signals : UpstreamSignals
        Signals of the upstream in this answer.
    is_sent : bool
        Whether bytes may have reached the upstream.
    is_released : bool
        Whether its place was given back.
    took_repeat : bool
        Whether a repeat was taken from the budget for it.
    is_at_work : bool
        Whether the upstream has begun to answer with a stream.
    on_heard : callable or None
        Called at each progress of the answer.
    """

    def __init__(
        self,
        progress: Progress,
        route: Route,
        place: Place,
        selector: UpstreamSelector,
        reply: CallerReply,
        lock: ReplyLock,
        silent: SilentUpstreams,
        origins: StreamOrigins,
        memory: MemoryAccount,
        clock: Clock,
    ) -> None:
        self.progress = progress
        self.route = route
        self.place = place
        self.selector = selector
        self._reply = reply
        self._lock = lock
        self._silent = silent
        self._origins = origins
        self._memory = memory
        self._clock = clock
        self.number = progress.sends
        self.sent_ms = clock.now_ms()
        self.first_byte_ms: int | None = None
        self.signals: UpstreamSignals = NO_SIGNALS
        self.is_sent = self.is_released = False
        self.took_repeat = progress.holds_repeat
        self.is_at_work = False
        self.on_heard: Callable[[], None] | None = None
        self._is_noted = self._misses_event = False
        self._waits_since_ms: int | None = self.sent_ms
        self.load: UpstreamLoad | None = None

    def forwarded(self) -> ForwardedCall:
        """Return the call as it goes to the upstream now."""
        left_ms = max(self.progress.until_ms - self._clock.now_ms(), 1)
        return ForwardedCall(
            self.progress.call,
            self.place.upstream,
            self.place.version,
            self.route.rank,
            left_ms,
            self.progress.last_event,
            runs_once=not self.route.kind.idempotent,
            silent_ms=left_ms + PAST_DEADLINE_MS,
            organisation=self.progress.organisation,
        )

    def begin(self) -> None:
        """Record that the request goes out now."""
        self.is_sent = True
        self.progress.last_sent_ms = self._clock.now_ms()
        upstream = self.place.upstream
        self._silent.began(upstream.service, upstream.instance, self.usual_ms)

    def release(self, outcome: RunOutcome, times: RunTimes) -> None:
        """Give the place back."""
        if self.is_writing:
            self._silent.write_ends(self.place.upstream.instance)
        if self.is_sent:
            self._silent.ended(self.place.upstream.instance, self.usual_ms, self.is_silent)
            if outcome in _TELLING_OUTCOMES:
                whole = outcome is RunOutcome.DONE
                self._silent.answered(self.place.upstream.instance, whole)
        self.is_released = True
        self.selector.release(self.place, outcome, times, self.load)

    @property
    def silent_ms(self) -> int:
        """How long the upstream has been silent; 0 while a part is written to the client.

        It stays 0 once the whole answer is there, however slowly the client reads the end of it.
        """
        since_ms = self._waits_since_ms
        return 0 if since_ms is None else self._clock.now_ms() - since_ms

    @property
    def is_writing(self) -> bool:
        """Whether a part is written to the client, or the end of its answer was."""
        return self._waits_since_ms is None

    @property
    def usual_ms(self) -> float:
        """How long a sound upstream is usually silent at most."""
        return patience_ms(self.route, self.progress.call)

    @property
    def is_silent(self) -> bool:
        """Whether the upstream has been silent for longer than a sound one usually is."""
        return self.silent_ms >= self.usual_ms

    def times(self) -> RunTimes:
        """Return how fast the upstream answered."""
        gaps_ms = self.progress.gaps_ms
        gap_ms = statistics.median(gaps_ms) if gaps_ms else 0.0
        first_ms = self.first_byte_ms or 0.0
        lag_ms = max(first_ms - self.route.objective_ms / 4, 0.0)
        return RunTimes(first_ms, lag_ms, gap_ms)

    def note_silent(self) -> None:
        """Tell the selector of the upstream's silence, once, so that it gets less new work."""
        if not self._is_noted:
            self._is_noted = True
            self.selector.note_silent(self.place)

    def outcome_if_abandoned(self) -> RunOutcome:
        """Return the outcome for the upstream if the gateway stops waiting for the answer."""
        # A silent send goes on until another one answers, or to the call's own deadline. If that
        # counted as no failure, a hung upstream would look as good as any other.
        return RunOutcome.BROKEN if self.is_silent and not self._is_noted else RunOutcome.LEFT

    async def relay(self, answer: UpstreamAnswer) -> SendResult:
        """Relay an answer that begins.

        Raises
        ------
        ReplyTaken
            When another send of the call answers the client.
        """
        self.load = answer.signals.load
        self.signals = answer.signals
        self._note_progress()
        if answer.not_run is not None:
            return Refused(TURNED_AWAY if answer.asks_backoff else answer.not_run.value)
        if not answer.ok:
            return Failed(answer.status, answer.headers, await self._read_whole(answer))
        if self.route.kind.streamed:
            if answer.written_by not in ("", self.place.upstream.announced_name):
                return Lost("answer_of_another_instance")
            self.is_at_work = True
            return await self._relay_events(answer)
        await self._relay_whole(answer)
        return Delivered()

    async def _relay_whole(self, answer: UpstreamAnswer) -> None:
        """Relay an answer once it is whole, or as it comes if there is no memory to hold it.

        An upstream that breaks off an answer which isn't held can't be replaced by another one.
        """
        with self._memory.holder() as held:
            body = bytearray()
            async for data in answer.body:
                body += data
                _check_length(len(body))
                if not _has_room(held, len(body)):
                    await self._relay_as_it_comes(answer, body, held)
                    return
            self._note_progress()
            self._begin_answer()
            whole = bytes(body)
            body.clear()
            # From here on the reply holds it.
            held.close()
            await self._reply.send_whole(answer.status, answer.headers, whole)

    async def _relay_as_it_comes(
        self, answer: UpstreamAnswer, begun: bytearray, held: Holder
    ) -> None:
        self._begin_answer()
        length = len(begun)
        await self._write(answer, bytes(begun))
        begun.clear()
        held.close()
        async for data in answer.body:
            length += len(data)
            _check_length(length)
            await self._write(answer, data)
        self._begin_writing()
        await self._reply.finish()

    def _begin_answer(self) -> None:
        """Note that the answer to the client, which is no stream, begins."""
        self._lock.acquire(self)
        self._note_first_byte()
        self.progress.note_part(self._clock.now_ms())
        self._begin_writing()

    async def _relay_events(self, answer: UpstreamAnswer) -> SendResult:
        splitter = EventSplitter()
        with self._memory.holder() as held:
            async for data in answer.body:
                in_order = self._take_in_order(splitter.feed(data))
                held.resize(len(splitter))
                if in_order:
                    self._note_progress()
                    # Events that arrived together go out together: a write for each would be a
                    # third of what an event costs.
                    await self._write(answer, b"".join(in_order))
                if self._misses_event:
                    return Lost("event_missing")
        if not splitter.at_event_boundary:
            return Lost("cut_in_event")
        self._lock.acquire(self)
        self._begin_writing()
        await self._start(answer)
        if rest := splitter.take_rest():
            await self._reply.write(rest)
        await self._reply.finish()
        return Delivered()

    async def _write(self, answer: UpstreamAnswer, data: bytes) -> None:
        self._begin_writing()
        await self._start(answer)
        await self._reply.write(data)
        self._silent.write_ends(self.place.upstream.instance)
        self._waits_since_ms = self._clock.now_ms()

    def _begin_writing(self) -> None:
        self._waits_since_ms = None
        self._silent.write_begins(self.place.upstream.instance)

    async def _start(self, answer: UpstreamAnswer) -> None:
        """Send the head to the client, once: that of the upstream which wrote the first event."""
        if not self.progress.started:
            self.progress.started = True
            await self._reply.start(answer.status, answer.headers)

    def _take_in_order(self, events: Iterable[StreamEvent]) -> list[bytes]:
        """Return the events up to the first one that does not follow its predecessor."""
        taken: list[bytes] = []
        for event in events:
            # Once another send has gone on, its events make those of this one look out of order.
            self._lock.check(self)
            if event.number is not None and self._is_out_of_order(event.number):
                self._misses_event = True
                break
            self._lock.acquire(self)
            if self.first_byte_ms is None:
                self._note_first_byte()
                # The leader may since have recorded what a later place runs.
                is_recorded = self.place.is_recorded and not self.progress.is_searched
                self._origins.began(self.progress, self.place.upstream, is_recorded)
            if event.number is not None:
                self.progress.last_event = event.number
            self.progress.note_part(self._clock.now_ms())
            taken.append(event.data)
        return taken

    def _is_out_of_order(self, number: int) -> bool:
        last = self.progress.last_event
        return last is not None and number != last + 1

    async def _read_whole(self, answer: UpstreamAnswer) -> bytes:
        """Return the body of a failure."""
        body = bytearray()
        with self._memory.holder() as held:
            async for data in answer.body:
                body += data
                _check_length(len(body))
                held.resize(len(body))
        self._note_progress()
        return bytes(body)

    def _note_progress(self) -> None:
        """Note what an answer consists of: its head, an event, or the end of a whole one.

        Bytes alone are none. An upstream in trouble may write them without end, and its call would
        wait for it until its deadline.
        """
        self._waits_since_ms = self._clock.now_ms()
        self._silent.heard(self.place.upstream.instance)
        if self.on_heard is not None:
            self.on_heard()

    def _note_first_byte(self) -> None:
        self.first_byte_ms = self._clock.now_ms() - self.sent_ms


def _check_length(size: int) -> None:
    if size > MAX_ANSWER_BYTES:
        raise AnswerLost(TOO_LARGE)


def _has_room(held: Holder, size: int) -> bool:
    try:
        held.resize(size)
    except AccountFull:
        return False
    return True
