"""Pace of the leader's decision rounds."""

from __future__ import annotations

from ..clock import Clock

MIN_PAUSE_MS = 4
"""Messages that arrive within this time are decided together; callers wait tens of ms for a first
event at least."""
MAX_PAUSE_MS = 16
"""Longest pause, after rounds that take long."""


class RoundPace:
    """How long the leader collects messages before its next round.

    A round looks at every engine and every waiting request. If each message caused one, the
    leader's work would grow with messages times engines, and it would fall behind just when most
    arrive. After a round it therefore pauses for `MIN_PAUSE_MS`, and as long as the round took if
    that is longer, so that the messages themselves are processed too. A message that comes after
    the pause is decided at once.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._began_ms = self._pause_until_ms = clock.now_ms()

    def begin(self) -> None:
        """Note that a round begins."""
        self._began_ms = self._clock.now_ms()

    def end(self) -> None:
        """Note that the round ended."""
        now_ms = self._clock.now_ms()
        pause_ms = min(max(now_ms - self._began_ms, MIN_PAUSE_MS), MAX_PAUSE_MS)
        self._pause_until_ms = now_ms + pause_ms

    def pause_ms(self) -> int:
        """Time until the next round may begin; 0 if it may now."""
        return max(self._pause_until_ms - self._clock.now_ms(), 0)
