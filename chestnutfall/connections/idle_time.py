"""How long an upstream keeps an idle connection open, as far as a gateway knows."""

from __future__ import annotations

UNTOLD_ONCE_MS = 1_000
"""Assumed for requests that may run once, of an upstream that told no time. It is stated in whole
seconds, so that none below one second can be told."""
UNTOLD_REPEATABLE_MS = 2_000
"""As `UNTOLD_ONCE_MS`, for requests that may be repeated: the shortest usual time of upstreams."""
MAX_USED_MS = 15_000
"""Longest time for which a connection is kept. A host between the two ends may forget a connection
that was silent for long."""
ONCE_MARGIN_MS = 800
"""Left of the upstream's time when a request that may run once is sent. The upstream counts from
the end of its answer; a lost packet or a busy gateway can delay the answer and the next request
by some 100 ms each."""
REPEATABLE_MARGIN_MS = 400
"""As `ONCE_MARGIN_MS`, of requests that may be repeated: such a loss costs them a repeat."""
USED_FRACTION = 0.9
"""Fraction of the upstream's time that is used at most: clocks and timers of long times drift."""
FOUND_HOLDS_MS = 30_000
"""How long a time that was found shorter than told holds. Upstreams also close connections for
other reasons, such as an overload that passes."""

FOUND_SLACK_MS = 500
"""How much later than a time that was found another connection may be closed for the same
reason; timers of upstreams may be that coarse."""


class IdleTime:
    """The idle time of one upstream: what it told, corrected by connections found closed."""

    def __init__(self) -> None:
        self._told_ms: int | None = None
        self._found_ms = 0.0
        self._found_until_ms = -1

    def note_told(self, told_ms: int | None) -> None:
        """Note the time stated in an answer; None for an answer that states none."""
        if told_ms is not None:
            self._told_ms = told_ms

    def note_found_closed(self, idle_ms: int, now_ms: int) -> None:
        """Note that the upstream closed a connection that was idle for `idle_ms`."""
        if idle_ms >= self._known_ms(False, now_ms):
            return
        self._found_ms = idle_ms
        self._found_until_ms = now_ms + FOUND_HOLDS_MS

    def note_survived(self, idle_ms: int, now_ms: int) -> None:
        """Note that a connection is still open after `idle_ms`.

        If that is longer than the time found before, the upstream closed that connection for
        another reason than its idle time.
        """
        if idle_ms > self._found_ms + FOUND_SLACK_MS:
            self._found_until_ms = now_ms

    def usable_ms(self, runs_once: bool, now_ms: int) -> float:
        """Return how long a connection may have been idle when a request is sent on it."""
        margin_ms = ONCE_MARGIN_MS if runs_once else REPEATABLE_MARGIN_MS
        return _within(self._known_ms(runs_once, now_ms), margin_ms)

    def kept_ms(self) -> float:
        """Return how long an idle connection is kept.

        A time that was found shorter than told doesn't count: only connections that stay open
        longer can show that it was found for another reason.
        """
        return _within(self._stated_ms(False), REPEATABLE_MARGIN_MS)

    def _known_ms(self, runs_once: bool, now_ms: int) -> float:
        stated_ms = self._stated_ms(runs_once)
        return min(stated_ms, self._found_ms) if now_ms < self._found_until_ms else stated_ms

    def _stated_ms(self, runs_once: bool) -> float:
        if self._told_ms is not None:
            return self._told_ms
        return UNTOLD_ONCE_MS if runs_once else UNTOLD_REPEATABLE_MS


def _within(known_ms: float, margin_ms: int) -> float:
    """Return how much of a time that the upstream keeps connections open may be used."""
    return max(min(known_ms - margin_ms, known_ms * USED_FRACTION, MAX_USED_MS), 0.0)
