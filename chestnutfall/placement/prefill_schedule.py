"""Prompts whose prefill one engine runs or will run."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from .prefill_speed import PrefillSpeed
from .prefill_window import PrefillWindow

SLOWNESS_FACTOR = 1.1
"""Each answer that comes far later than expected of this engine raises its slowness by this factor,
any other lowers it: an engine that turns eight times as slow is detected after twenty answers."""
LATE_FACTOR = 1.6
"""An answer counts as late beyond this many times the expected time. Prompts that arrive together
are processed together, so that the first of them waits for all; counted as a sign of a slow engine,
this gives busy engines a slowness of 1.1 to 1.3 and too little prefill."""
MAX_SLOWNESS = 16.0
"""An engine that is slower than this gets no more requests anyway."""
MAX_NORMAL_SLOWNESS = 1.5
"""Engines up to this slowness contribute to the speed of their service; slower ones have a problem
of their own."""
LONGEST_WINDOW_MS = 10_000
"""No pause objective is longer; prefills that ended earlier are forgotten."""


@dataclass(frozen=True, slots=True)
class _Prefill:
    """When the engine is expected to process a prompt that was sent to it."""

    begin_ms: float
    end_ms: float

    def after_ms(self, start_ms: float) -> float:
        """The part of it that comes after `start_ms`."""
        return max(self.end_ms - max(self.begin_ms, start_ms), 0.0)


class PrefillSchedule:
    """Prompts sent recently, and prompts that wait to be sent.

    Attributes
    ----------
    slowness : float
        How many times slower than others of its service the engine is; at least 1.
    """

    def __init__(self, speed: PrefillSpeed) -> None:
        self.slowness = 1.0
        self._speed = speed
        self._prefills: deque[_Prefill] = deque()
        self._waiting: dict[str, float] = {}
        self._ahead_tokens: dict[str, float] = {}
        self._until_ms = 0.0

    @property
    def first_ms(self) -> float:
        """Time to the first event of an empty prompt."""
        return self._speed.first_ms * self.slowness

    @property
    def ms_per_token(self) -> float:
        """Prefill time of this engine for each token."""
        return self._speed.ms_per_token * self.slowness

    @property
    def waiting(self) -> Iterable[str]:
        """Tickets of the prompts that wait to be sent."""
        return self._waiting

    @property
    def waiting_count(self) -> int:
        """Number of prompts that wait to be sent."""
        return len(self._waiting)

    def reserve(self, ticket: str, tokens: float) -> None:
        """Add a prompt that will be sent when its adapter is loaded and its turn has come."""
        self._waiting[ticket] = tokens

    def cancel(self, ticket: str) -> None:
        """Forget a request that ended, or that will not be sent."""
        self._waiting.pop(ticket, None)
        self._ahead_tokens.pop(ticket, None)

    def fits(self, ticket: str, window: PrefillWindow | None, now_ms: int) -> bool:
        """Whether a reserved prompt may be sent now."""
        if window is None:
            return True
        prefill_ms = self._waiting.get(ticket, 0.0) * self.ms_per_token
        begin_ms = max(self._until_ms, now_ms)
        before_ms = self._prefill_after_ms(begin_ms + prefill_ms - window.length_ms)
        # A prompt beyond the budget by itself is sent when the window has no other prefill.
        return before_ms <= 0 or before_ms + prefill_ms <= window.budget_ms

    def send(self, ticket: str, now_ms: int) -> None:
        """Record that a reserved prompt is sent now."""
        tokens = self._waiting.pop(ticket, 0.0)
        self._speed.note_prompt(tokens)
        prefill_ms = tokens * self.ms_per_token
        begin_ms = max(self._until_ms, now_ms)
        self._ahead_tokens[ticket] = tokens + (begin_ms - now_ms) / self.ms_per_token
        self._until_ms = begin_ms + prefill_ms
        self._prefills.append(_Prefill(begin_ms, self._until_ms))
        while self._prefills[0].end_ms < now_ms - LONGEST_WINDOW_MS:
            self._prefills.popleft()

    def learn(self, ticket: str, first_ms: float) -> None:
        """Update slowness and speed by the time to the first event of a prompt that was sent."""
        tokens = self._ahead_tokens.get(ticket)
        if tokens is None or first_ms <= 0:
            return
        late_ms = LATE_FACTOR * self.slowness * self._speed.expected_ms(tokens)
        factor = SLOWNESS_FACTOR if first_ms > late_ms else 1 / SLOWNESS_FACTOR
        self.slowness = min(max(self.slowness * factor, 1.0), MAX_SLOWNESS)
        if self.slowness <= MAX_NORMAL_SLOWNESS:
            self._speed.note(tokens, first_ms)

    def first_event_ms(self, ticket: str) -> float:
        """Expected time from sending a reserved prompt to the first event."""
        return self._speed.expected_ms(self._waiting.get(ticket, 0.0)) * self.slowness

    def sent_ms(self, now_ms: int) -> float:
        """Time until the engine has processed the prompts that it was sent."""
        return max(self._until_ms - now_ms, 0.0)

    def prompts_per_s(self, window: PrefillWindow | None) -> float:
        """Usual prompts that the engine can process in a second."""
        part = window.budget_ms / window.length_ms if window is not None else 1.0
        return part * 1000 / max(self._speed.usual_tokens * self.ms_per_token, 1.0)

    def reserved_ms(self, tickets: Iterable[str]) -> float:
        """Prefill time of those of `tickets` that wait to be sent."""
        return sum(self._waiting.get(ticket, 0.0) for ticket in tickets) * self.ms_per_token

    def wait_ms(self, window: PrefillWindow | None, now_ms: int) -> float:
        """Time that one more prompt would wait until its prefill begins."""
        reserved_ms = self.reserved_ms(self._waiting)
        before_ms = max(self._until_ms - now_ms, 0.0) + reserved_ms
        if window is None:
            return before_ms
        lately_ms = self._prefill_after_ms(max(self._until_ms, now_ms) - window.length_ms)
        over_ms = lately_ms + reserved_ms - window.budget_ms
        return max(before_ms, over_ms * window.length_ms / window.budget_ms)

    def _prefill_after_ms(self, start_ms: float) -> float:
        """Prefill time of sent prompts that falls after `start_ms`."""
        prefill_ms = 0.0
        for prefill in reversed(self._prefills):
            if prefill.end_ms <= start_ms:
                break
            prefill_ms += prefill.after_ms(start_ms)
        return prefill_ms
