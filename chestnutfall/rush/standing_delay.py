"""Delay that does not go away within a while."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

SPAN_MS = 100
"""As long as a scheduler makes a process wait that has used up its part."""
SPANS = 3
STANDING_MS = SPANS * SPAN_MS
MIN_IN_SPAN = 3
FORGOTTEN_MS = 2_000
"""Time without a measurement after which earlier ones say nothing."""


@dataclass(slots=True)
class _Span:
    """Delays that were measured in some time."""

    began_ms: int
    length_ms: int = 0
    count: int = 0
    total_ms: int = 0

    @property
    def mean_ms(self) -> float:
        return self.total_ms / self.count


class StandingDelay:
    """The least of the mean delays of the last spans of time.

    One long task, or a host that stands still for a moment, delays much in one span and nothing in
    the next. Work that has piled up delays all of them. The mean, and not the least delay of a
    span, counts the times in which the host runs something else.
    """

    def __init__(self) -> None:
        self._ended: deque[_Span] = deque(maxlen=SPANS)
        self._span: _Span | None = None
        self._noted_ms = 0
        self._ended_ms = 0

    def note(self, now_ms: int, delay_ms: int) -> None:
        """Note a delay that has ended now."""
        if self._is_old(now_ms):
            self.clear()
        self._noted_ms = now_ms
        if self._span is None:
            # A delay says something of all the time that it took, but spans don't overlap.
            self._span = _Span(max(now_ms - delay_ms, self._ended_ms))
        self._span.count += 1
        self._span.total_ms += delay_ms
        self._span.length_ms = now_ms - self._span.began_ms
        if self._span.length_ms >= SPAN_MS and self._span.count >= MIN_IN_SPAN:
            self._ended.append(self._span)
            self._ended_ms = now_ms
            self._span = None

    def standing_ms(self, now_ms: int) -> float:
        """Return the delay that has stood for `STANDING_MS`; 0 for none."""
        if sum(span.length_ms for span in self._ended) < STANDING_MS or self._is_old(now_ms):
            return 0.0
        return min(span.mean_ms for span in self._ended)

    def last_ms(self, now_ms: int) -> float:
        """Return the mean delay of the last span; 0 for none."""
        return 0.0 if not self._ended or self._is_old(now_ms) else self._ended[-1].mean_ms

    def _is_old(self, now_ms: int) -> bool:
        return now_ms - self._noted_ms > FORGOTTEN_MS

    def clear(self) -> None:
        """Forget everything."""
        self._ended.clear()
        self._span = None
