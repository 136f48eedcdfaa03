"""The sends of one call that are in progress, oldest first."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from ..placement import RunOutcome
from ..placement.run_times import NO_TIMES
from ..requests import NOT_RUN_STATUSES
from .progress import Progress
from .relayed_send import RelayedSend
from .reply_lock import ReplyLock
from .send_log import log_send, log_unfinished
from .send_parts import SendParts
from .send_result import Delivered, Failed, SendResult

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _Live:
    """A send and the task that runs it."""

    sending: RelayedSend
    task: asyncio.Task[SendResult]


class LiveSends:
    """Runs the sends of a call side by side, and ends those that others have overtaken.

    Parameters
    ----------
    on_ended : callable
        Called when a send has ended.
    """

    def __init__(
        self,
        parts: SendParts,
        progress: Progress,
        lock: ReplyLock,
        on_ended: Callable[[], None],
    ) -> None:
        self._parts = parts
        self._progress = progress
        self._lock = lock
        self._on_ended = on_ended
        self._live: list[_Live] = []
        self._left: list[_Live] = []

    def __len__(self) -> int:
        return len(self._live)

    @property
    def sends(self) -> list[RelayedSend]:
        """The sends in progress."""
        return [one.sending for one in self._live]

    def start(self, sending: RelayedSend) -> None:
        """Start a send; any of them may answer the client from now on."""
        self._lock.release()
        task = asyncio.ensure_future(self._parts.sender.send(sending))
        task.add_done_callback(lambda _: self._note_ended(sending, task))
        self._live.append(_Live(sending, task))

    def _note_ended(self, sending: RelayedSend, task: asyncio.Task[SendResult]) -> None:
        # A task that is cancelled before its first step never runs.
        if not sending.is_released:
            sending.release(RunOutcome.WITHDRAWN, NO_TIMES)
        if not task.cancelled():
            task.exception()
        self._on_ended()

    def leave_overtaken(self) -> None:
        """Cancel the other sends once one of them has the next part of the answer."""
        if self._lock.is_free or len(self._live) == 1:
            return
        holder = next(one for one in self._live if self._lock.is_held_by(one.sending))
        for one in list(self._live):
            if one is not holder and not self._drop_if_ended(one):
                self._leave(one, holder)

    def leave_older(self) -> None:
        """Cancel all sends but the newest."""
        newest = self._live[-1]
        for one in self._live[:-1]:
            self._leave(one, newest)

    def leave_newest(self) -> None:
        """Cancel the newest send, as the call could not go back from it."""
        newest = self._live[-1]
        # Otherwise its silence, no longer than the overlap, would count as a failure.
        if newest.sending.is_silent:
            newest.sending.note_silent()
        self._end(newest)
        self._parts.metrics.count("sends_withdrawn")
        log.info(
            "call: id=%s withdrawn send=%d instance=%s last_event=%s silent=%d",
            self._progress.call.request_id,
            newest.sending.number,
            newest.sending.place.upstream.instance,
            self._progress.last_event,
            newest.sending.silent_ms,
        )

    def take_ended(self) -> tuple[RelayedSend, SendResult] | None:
        """Drop the sends that ended; return the one that ends the call, or the last one left.

        Raises what a send raised.
        """
        for one in [one for one in self._live if one.task.done()]:
            result = one.task.result()
            if self._is_answer(result) and self._lock.is_free:
                self._lock.acquire(one.sending)
                self.leave_overtaken()
            if len(self._live) == 1:
                log_send(one.sending, self._parts.clock.now_ms(), result)
                return one.sending, result
            self._drop(one, result)
        return None

    def _is_answer(self, result: SendResult) -> bool:
        """Whether a result answers the client, whatever becomes of the other sends."""
        match result:
            case Delivered():
                return True
            case Failed(status):
                is_final = status < 500 and status not in NOT_RUN_STATUSES
                return is_final and not self._progress.started
            case _:
                return False

    def _drop_if_ended(self, one: _Live) -> bool:
        """Drop a send that ended by itself; return whether it did."""
        if not one.task.done() or one.task.cancelled() or one.task.exception() is not None:
            return False
        self._drop(one, one.task.result())
        return True

    def _drop(self, one: _Live, result: SendResult) -> None:
        log_send(one.sending, self._parts.clock.now_ms(), result)
        self._live.remove(one)
        self._parts.results.note_dropped(one.sending, result)

    def _leave(self, one: _Live, other: _Live) -> None:
        """Cancel a send that another one has overtaken."""
        self._end(one)
        self._parts.metrics.count("sends_overtaken")
        log.info(
            "call: id=%s overtaken send=%d instance=%s by=%s last_event=%s silent=%d ahead=%d",
            self._progress.call.request_id,
            one.sending.number,
            one.sending.place.upstream.instance,
            other.sending.place.upstream.instance,
            self._progress.last_event,
            one.sending.silent_ms,
            self._lock.is_held_by(other.sending),
        )

    def _end(self, one: _Live) -> None:
        """Cancel a send while another one of its call goes on."""
        one.task.cancel()
        self._live.remove(one)
        self._left.append(one)
        self._parts.results.note_overtaken(one.sending)

    async def end_all(self) -> None:
        """Cancel what still runs, and wait for its end.

        Each place is given back as its send ends, also if the waiting is cancelled.
        """
        for one in self._live:
            if not one.task.done():
                log_unfinished(one.sending)
        ending = [*self._live, *self._left]
        for one in ending:
            one.task.cancel()
        if ending:
            await asyncio.wait({one.task for one in ending})
