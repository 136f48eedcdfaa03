"""A limit on the time between the parts of an answer."""

from __future__ import annotations

import asyncio
from types import TracebackType

from ..forwarding.upstream_api import SILENT, AnswerLost


class GapLimit:
    """Ends the wait for the next part of an answer after a silence; use it as a context.

    One timer serves all parts: as it falls due, it is set anew for the wait that goes on then. A
    timer for each part would cost more than all else that is done with a part here.

    Parameters
    ----------
    silent_ms : float
        Longest time that one wait may take.

    Raises
    ------
    AnswerLost
        From the context, when the next part did not come in time.
    """

    __slots__ = ("_cancelling", "_due_s", "_loop", "_silent_s", "_task", "_timer", "_timer_s")

    def __init__(self, silent_ms: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._silent_s = silent_ms / 1000
        self._due_s = 0.0
        self._cancelling = 0
        self._task: asyncio.Task[object] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_s = 0.0

    def begin_wait(self, silent_ms: float | None = None) -> None:
        """Limit the wait of the present task that begins now, by `silent_ms` if that is given."""
        self._task = task = asyncio.current_task()
        assert task is not None
        self._cancelling = task.cancelling()
        silent_s = self._silent_s if silent_ms is None else silent_ms / 1000
        self._due_s = self._loop.time() + silent_s
        if self._timer is None or self._timer_s > self._due_s:
            self._set_timer()

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer_s = self._due_s
        self._timer = self._loop.call_at(self._due_s, self._fall_due)

    def end_wait(self) -> None:
        """Record that a part came; what its receiver does with it takes as long as it takes."""
        self._task = None

    def _fall_due(self) -> None:
        self._timer = None
        if self._task is None:
            return
        if self._loop.time() < self._due_s:
            self._set_timer()
            return
        self._due_s = -1.0
        self._task.cancel()

    def __enter__(self) -> GapLimit:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._due_s >= 0 or self._task is None:
            return
        # Whoever else cancelled the task meanwhile still has to be obeyed.
        is_own = self._task.uncancel() <= self._cancelling
        if is_own and isinstance(exc, asyncio.CancelledError):
            raise AnswerLost(SILENT) from exc
