"""The sending of one call, to another upstream too while its upstream is silent."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

from ..routes import Route
from .caller_reply import CallerReply
from .live_sends import LiveSends
from .other_place import OtherPlace
from .overtaken_upstreams import has_attempt, overtaken
from .place import Place, SelectionCriteria, UpstreamSelector
from .progress import MAX_SENDS, Progress
from .relayed_send import RelayedSend
from .reply_lock import ReplyLock
from .send_log import log_send, log_unfinished
from .send_parts import SendParts
from .send_result import UNREACHABLE, HeldBack, Refused, SendResult
from .silent_upstreams import lasting_ms
from .waker import Waker

OVERLAP_MS = 300
"""How long the run of a begun stream goes on after another one was sent, whatever has become of
that one: two engines must not work side by side on a stream that goes on."""


class CallSends:
    """Sends a call, and sends it to another upstream too while its upstream is silent.

    A sound upstream may write nothing for a second or so. Its send goes on until another one has
    the next part of the answer; whichever answers first is relayed. The run of a begun stream ends
    with the next event of another upstream, and `OVERLAP_MS` after the call was sent there at the
    latest; where that one fails or hangs, the stream may be taken up again at the first upstream.
    Without such a way back, or if the stream has moved before without an event since, the second
    run ends with the overlap, unless the first one hangs.

    Parameters
    ----------
    criteria : callable
        Returns what an upstream must meet for the call.
    """

    def __init__(
        self,
        parts: SendParts,
        progress: Progress,
        route: Route,
        selector: UpstreamSelector,
        reply: CallerReply,
        criteria: Callable[[], SelectionCriteria],
    ) -> None:
        self._parts = parts
        self._progress = progress
        self._route = route
        self._selector = selector
        self._reply = reply
        self._clock = parts.clock
        self._waker = Waker()
        self._lock = ReplyLock(self._waker.wake)
        self._live = LiveSends(parts, progress, self._lock, self._waker.wake)
        self._other = OtherPlace(parts, criteria, self._waker.wake)

    async def run(self, place: Place) -> tuple[RelayedSend, SendResult]:
        """Send the call to `place`, and return its last send with the result."""
        first = self._prepare(place)
        may_move = place.has_other and self._may_look([first])
        # Otherwise the repeat for the way back would be kept until the stream ends.
        may_move |= self._progress.way_back_ms is not None
        sending, result = await (self._watch(first) if may_move else self._send_once(first))
        if isinstance(result, HeldBack) or result == Refused(UNREACHABLE):
            self._progress.holds_repeat = sending.took_repeat
        return sending, result

    def _prepare(self, place: Place) -> RelayedSend:
        self._progress.sends += 1
        sending = self._parts.sender.prepare(
            self._progress, self._route, place, self._selector, self._reply, self._lock
        )
        self._progress.holds_repeat = self._progress.goes_back = False
        return sending

    async def _send_once(self, sending: RelayedSend) -> tuple[RelayedSend, SendResult]:
        try:
            result = await self._parts.sender.send(sending)
        except BaseException:
            log_unfinished(sending)
            raise
        log_send(sending, self._clock.now_ms(), result)
        return sending, result

    def _may_look(self, sends: Sequence[RelayedSend]) -> bool:
        """Whether the call may be sent once more beside these sends, now or as they stay silent."""
        progress = self._progress
        if not self._route.kind.idempotent or progress.sends >= MAX_SENDS:
            return False
        # Without the number of the last event, no other run could go on behind it.
        if progress.started and progress.last_event is None:
            return False
        if progress.resumes and len(sends) > 1:
            return False
        live = [one.place.upstream.instance for one in sends]
        return has_attempt(progress, self._route, live) or bool(overtaken(progress, live))

    def _patience_ms(self) -> int:
        """Return how long the sends are silent until the call is sent once more."""
        sends = self._live.sends
        live = [one.place.upstream.instance for one in sends]
        usual_ms = sends[-1].usual_ms
        # If no new upstream may run the call, it could only go back to one that was overtaken. That
        # one was silent as well, so the call leaves the present ones only once they hang.
        is_spent = not has_attempt(self._progress, self._route, live)
        return lasting_ms(usual_ms) if is_spent else math.ceil(usual_ms)

    async def _watch(self, first: RelayedSend) -> tuple[RelayedSend, SendResult]:
        self._live.start(first)
        try:
            while True:
                await self._wait()
                self._live.leave_overtaken()
                if not self._lock.is_free:
                    self._parts.way_back.give_back(self._progress)
                last = self._live.take_ended()
                if last is not None:
                    self._other.note_last(last[0])
                    return last
                self._end_overlap()
                self._send_too()
        finally:
            self._other.stop(first.selector)
            await self._live.end_all()
            await self._other.close()

    def _end_overlap(self) -> None:
        if not self._progress.resumes or len(self._live) == 1:
            return
        oldest, newest = self._live.sends[0], self._live.sends[-1]
        if self._clock.now_ms() < newest.sent_ms + OVERLAP_MS:
            return
        hangs = oldest.silent_ms >= lasting_ms(oldest.usual_ms)
        reason = "" if hangs else self._parts.way_back.keep(self._progress, newest)
        if reason:
            self._live.leave_newest()
            self._other.stay(oldest, reason)
        else:
            self._live.leave_older()

    def _send_too(self) -> None:
        """Look for another upstream, or send the call to the one that was found."""
        other, sends = self._other, self._live.sends
        if other.search is not None and other.search.done():
            place = other.take(sends, self._may_look(sends))
            self._parts.origins.confirm(self._progress)
            if place is not None:
                self._progress.holds_repeat = True
                self._live.start(self._prepare(place))
                self._parts.metrics.count("silent_sends")
        elif self._may_look(sends) or other.search is not None:
            other.update(sends, self._patience_ms())

    async def _wait(self) -> None:
        """Wait until a send or the search ends, a send is the first, or a time is reached."""
        woken = self._waker.begin()
        due_ms = self._due_ms()
        alarm = None
        if due_ms is not None:
            alarm = self._parts.alarms.set(due_ms, self._waker.wake)
        try:
            await woken
        finally:
            self._waker.end()
            if alarm is not None:
                alarm.cancel()

    def _due_ms(self) -> int | None:
        """Return the clock time of the next decision; None if it only depends on the sends."""
        now_ms, sends, due_ms = self._clock.now_ms(), self._live.sends, []
        if self._progress.resumes and len(sends) > 1:
            due_ms.append(sends[-1].sent_ms + OVERLAP_MS)
        if self._may_look(sends) and self._other.search is None:
            silent_ms = min(one.silent_ms for one in sends)
            due_ms.append(max(now_ms + self._patience_ms() - silent_ms, self._other.next_ms))
        return min(due_ms, default=None)
