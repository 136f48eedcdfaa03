"""Prompts that one engine reads and will read."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from .read_pace import ReadPace
from .read_window import ReadWindow

SLOWER = 1.1
"""Each answer that came far later than expected of this engine makes it slower by this factor, any
other faster: one that turns eight times as slow is known after twenty answers."""
FAR_LATER = 1.6
"""Prompts that come together are read together, so that the first of them waits for all; that is no
sign of a slow engine. Counted as one, busy engines stood at 1.1 to 1.3, and got less to read."""
MOST_SLOWNESS = 16.0
"""Slower than that it gets no more work anyway."""
AS_USUAL = 1.5
"""Engines up to this slowness tell of their kind; the others have a trouble of their own."""
LONGEST_WINDOW_MS = 10_000
"""No pause objective is longer; what was sent before that is forgotten."""


@dataclass(frozen=True, slots=True)
class _Read:
    """When the engine reads a prompt that was sent to it."""

    begin_ms: float
    end_ms: float

    def after_ms(self, start_ms: float) -> float:
        """How much of it comes after `start_ms`."""
        return max(self.end_ms - max(self.begin_ms, start_ms), 0.0)


class ReadSchedule:
    """What was sent lately, and what waits to be sent.

    Attributes
    ----------
    slowness : float
        How much slower than others of its service the engine reads; 1 at least.
    """

    def __init__(self, pace: ReadPace) -> None:
        self.slowness = 1.0
        self._pace = pace
        self._reads: deque[_Read] = deque()
        self._waiting: dict[str, float] = {}
        self._ahead_tokens: dict[str, float] = {}
        self._until_ms = 0.0

    @property
    def first_ms(self) -> float:
        """Time to the first event of an empty prompt."""
        return self._pace.first_ms * self.slowness

    @property
    def ms_per_token(self) -> float:
        """How long this engine reads one token."""
        return self._pace.ms_per_token * self.slowness

    @property
    def waiting(self) -> Iterable[str]:
        """Tickets of the prompts that wait to be sent."""
        return self._waiting

    @property
    def waiting_count(self) -> int:
        """How many prompts wait to be sent."""
        return len(self._waiting)

    def reserve(self, ticket: str, tokens: float) -> None:
        """Note a prompt that will be sent when its adapter is there and its turn has come."""
        self._waiting[ticket] = tokens

    def cancel(self, ticket: str) -> None:
        """Forget a request that ended, or that will not be sent."""
        self._waiting.pop(ticket, None)
        self._ahead_tokens.pop(ticket, None)

    def fits(self, ticket: str, window: ReadWindow | None, now_ms: int) -> bool:
        """Whether a reserved prompt may be sent now."""
        if window is None:
            return True
        read_ms = self._waiting.get(ticket, 0.0) * self.ms_per_token
        begin_ms = max(self._until_ms, now_ms)
        before_ms = self._after_ms(begin_ms + read_ms - window.length_ms)
        # One that is longer than the budget by itself goes when nothing else was read.
        return before_ms <= 0 or before_ms + read_ms <= window.budget_ms

    def send(self, ticket: str, now_ms: int) -> None:
        """Note that a reserved prompt is sent now."""
        tokens = self._waiting.pop(ticket, 0.0)
        self._pace.note_prompt(tokens)
        read_ms = tokens * self.ms_per_token
        begin_ms = max(self._until_ms, now_ms)
        self._ahead_tokens[ticket] = tokens + (begin_ms - now_ms) / self.ms_per_token
        self._until_ms = begin_ms + read_ms
        self._reads.append(_Read(begin_ms, self._until_ms))
        while self._reads[0].end_ms < now_ms - LONGEST_WINDOW_MS:
            self._reads.popleft()

    def learn(self, ticket: str, first_ms: float) -> None:
        """Take in when the first event of a sent prompt came."""
        tokens = self._ahead_tokens.get(ticket)
        if tokens is None or first_ms <= 0:
            return
        late_ms = FAR_LATER * self.slowness * self._pace.expected_ms(tokens)
        factor = SLOWER if first_ms > late_ms else 1 / SLOWER
        self.slowness = min(max(self.slowness * factor, 1.0), MOST_SLOWNESS)
        if self.slowness <= AS_USUAL:
            self._pace.note(tokens, first_ms)

    def first_event_ms(self, ticket: str) -> float:
        """Expected time from sending a reserved prompt to the first event."""
        return self._pace.expected_ms(self._waiting.get(ticket, 0.0)) * self.slowness

    def prompts_per_s(self, window: ReadWindow | None) -> float:
        """How many usual prompts the engine reads in a second."""
        part = window.budget_ms / window.length_ms if window is not None else 1.0
        return part * 1000 / max(self._pace.usual_tokens * self.ms_per_token, 1.0)

    def reserved_ms(self, tickets: Iterable[str]) -> float:
        """Reading of those among the prompts that wait to be sent."""
        return sum(self._waiting.get(ticket, 0.0) for ticket in tickets) * self.ms_per_token

    def wait_ms(self, window: ReadWindow | None, now_ms: int) -> float:
        """How long one more prompt would wait until it is read."""
        reserved_ms = self.reserved_ms(self._waiting)
        before_ms = max(self._until_ms - now_ms, 0.0) + reserved_ms
        if window is None:
            return before_ms
        lately_ms = self._after_ms(max(self._until_ms, now_ms) - window.length_ms)
        over_ms = lately_ms + reserved_ms - window.budget_ms
        return max(before_ms, over_ms * window.length_ms / window.budget_ms)

    def _after_ms(self, start_ms: float) -> float:
        """Reading that was sent and comes after `start_ms`."""
        read_ms = 0.0
        for read in reversed(self._reads):
            if read.end_ms <= start_ms:
                break
            read_ms += read.after_ms(start_ms)
        return read_ms
