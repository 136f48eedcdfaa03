"""A request's attempt, and another one beside it while the first is silent."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncGenerator, Callable, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

from ..clock import Clock
from .after_answer import after_answer
from .attempt import Attempt

log = logging.getLogger(__name__)
T = TypeVar("T")
MAX_SENT = 3
"""Attempts that may be under way at once; the third shows whether the upstreams or only the
connections of the first two are silent."""
RECHECK_MS = 100
"""Time until silent attempts that had to wait are looked at again; it costs no message."""


@dataclass(slots=True, eq=False)
class Runner(Generic[T]):
    """An attempt that runs: its answer, and the task that waits for the answer's first part."""

    attempt: Attempt
    answer: AsyncGenerator[T, None]
    begins: asyncio.Task[T]


class AnswerRace(Generic[T]):
    """Waits for the first attempt that begins to answer.

    A sound upstream may be silent for a second and go on. So a silent attempt is not given up:
    another one is begun beside it, at another upstream, and whichever answers first is passed on.

    Parameters
    ----------
    begin : callable
        Begins an attempt; the parts of its answer are yielded.
    another_id : callable
        Returns the id of an attempt that may be begun beside a silent one, or None; called each
        time.
    must_wait : callable
        Whether these silent attempts, the newest last, tell nothing of their own upstreams.
    on_unsent : callable
        Called when an attempt that was begun beside another one ended before it was sent, which is
        no failure.
    failed : set of str
        Names of upstreams that failed; those that fail meanwhile are added.
    silent_ms : int
        How long nothing is heard of an attempt that was sent until it counts as silent.
    """

    def __init__(
        self,
        begin: Callable[[Attempt], AsyncGenerator[T, None]],
        another_id: Callable[[], str | None],
        must_wait: Callable[[Sequence[Attempt]], bool],
        on_unsent: Callable[[], None],
        failed: set[str],
        clock: Clock,
        silent_ms: int,
    ) -> None:
        self._begin = begin
        self._another_id = another_id
        self._must_wait = must_wait
        self._on_unsent = on_unsent
        self._failed = failed
        self._clock = clock
        self._silent_ms = silent_ms
        self._is_kept = False
        self._runners: list[Runner[T]] = []
        self._failures: list[BaseException] = []

    def start(self, attempt: Attempt) -> None:
        """Begin an attempt."""
        answer = self._begin(attempt)
        self._runners.append(Runner(attempt, answer, asyncio.ensure_future(_first_of(answer))))

    async def first(self) -> Runner[T] | None:
        """Return the attempt that answers first; None if all failed."""
        while self._runners:
            for one in [one for one in self._runners if one.begins.done()]:
                if self._has_begun(one):
                    return one
                self._runners.remove(one)
            if self._runners:
                # Only after a whole silence: an attempt that is refused at once would otherwise be
                # followed by the next one at once.
                if await self._wait():
                    self._begin_another_if_silent()
        return None

    @property
    def failures(self) -> Sequence[BaseException]:
        """What the attempts that failed raised, in this order."""
        return self._failures

    def _has_begun(self, one: Runner[T]) -> bool:
        try:
            one.begins.result()
        except (Exception, asyncio.CancelledError) as exc:
            self._note_failed(one.attempt, exc)
            return False
        return True

    def _note_failed(self, attempt: Attempt, exc: BaseException) -> None:
        if self._is_unsent(attempt):
            self._on_unsent()
            return
        self._failures.append(exc)
        if attempt.upstream:
            self._failed.add(attempt.upstream)

    @staticmethod
    def _is_unsent(attempt: Attempt) -> bool:
        """Whether it was begun beside another one and not sent."""
        return attempt.beside and attempt.heard_ms is None

    async def _wait(self) -> bool:
        """Wait until an attempt begins to answer or fails; return False, or True after silence."""
        timer = asyncio.ensure_future(self._clock.sleep_ms(self._until_silent_ms()))
        try:
            waiting = [one.begins for one in self._runners]
            done, _ = await asyncio.wait([*waiting, timer], return_when=asyncio.FIRST_COMPLETED)
            return timer in done
        finally:
            timer.cancel()

    def _until_silent_ms(self) -> int:
        heard_ms = self._runners[-1].attempt.heard_ms
        if heard_ms is None:
            return self._silent_ms
        # An attempt that is silent already is looked at again after as long.
        left_ms = heard_ms + self._silent_ms - self._clock.now_ms()
        if left_ms > 0:
            return left_ms
        return min(RECHECK_MS, self._silent_ms) if self._is_kept else self._silent_ms

    def _begin_another_if_silent(self) -> None:
        now_ms = self._clock.now_ms()
        waiting = [one.attempt for one in self._runners if not one.begins.done()]
        all_silent = waiting and all(one.is_silent(now_ms, self._silent_ms) for one in waiting)
        if not all_silent or len(waiting) >= MAX_SENT:
            return
        self._is_kept = self._must_wait(waiting)
        if self._is_kept:
            return
        attempt_id = self._another_id()
        if attempt_id is None:
            return
        first = waiting[0]
        log.info(
            "dispatch: id=%s upstream=%s silent, id=%s begins beside it",
            first.attempt_id,
            first.upstream,
            attempt_id,
        )
        # The second attempt goes to another upstream. The third may go to a silent one again, over
        # another connection, if there is no other.
        silent = frozenset(one.upstream for one in waiting)
        excluded = silent if len(waiting) == 1 else frozenset()
        self.start(Attempt(attempt_id, silent | self._failed, excluded, beside=True))

    async def close(self) -> None:
        """End all attempts that still run, the one that answered included."""
        runners, self._runners = self._runners, []
        await self._end(runners)

    async def drop_others(self, winner: Runner[T]) -> int:
        """End all attempts but one; return how many were begun beside another one and sent."""
        others = [one for one in self._runners if one is not winner]
        self._runners = [winner]
        await self._end(others)
        return sum(one.attempt.beside and one.attempt.heard_ms is not None for one in others)

    async def _end(self, runners: Sequence[Runner[T]]) -> None:
        for one in runners:
            one.begins.cancel()
        await asyncio.gather(*(one.begins for one in runners), return_exceptions=True)
        for one in runners:
            if self._is_unsent(one.attempt):
                self._on_unsent()
            with after_answer("end of an attempt"):
                await one.answer.aclose()


async def _first_of(answer: AsyncGenerator[T, None]) -> T:
    return await anext(answer)
