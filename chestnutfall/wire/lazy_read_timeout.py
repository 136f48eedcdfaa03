"""Read timeouts of client connections without a new timer for each part of an answer."""

from __future__ import annotations

from typing import Any

from aiohttp.client_proto import ResponseHandler


class LazyReadTimeout(ResponseHandler):
    """Moves the deadline with each part received, and looks at it when the running timer ends.

    aiohttp cancels a timer and starts another for each part; an event of a stream is one, and this
    took a fifth of the time that it takes to relay it. The timeout itself is the same.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._read_deadline_s = 0.0
        self._timer_ends_s = 0.0

    def _reschedule_timeout(self) -> None:
        timeout_s = self._read_timeout
        if not timeout_s:
            self._drop_timeout()
            return
        self._read_deadline_s = self._loop.time() + timeout_s
        # An earlier timer is kept, and moved on when it ends; a later one would end too late.
        if self._read_timeout_handle is None or self._timer_ends_s > self._read_deadline_s:
            self._drop_timeout()
            self._start_timer()

    def _start_timer(self) -> None:
        # Kept here, since the handle of a uvloop timer that is due at once does not tell it.
        self._timer_ends_s = self._read_deadline_s
        self._read_timeout_handle = self._loop.call_at(self._read_deadline_s, self._on_timer)

    def _on_timer(self) -> None:
        self._read_timeout_handle = None
        if self._loop.time() < self._read_deadline_s:
            self._start_timer()
        else:
            self._on_read_timeout()
