"""Prompts whose prefill one engine runs or will run."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from .engine_speed import EngineSpeed
from .prefill_speed import PrefillSpeed
from .prefill_window import PrefillWindow

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


@dataclass(frozen=True, slots=True)
class _SentPrompt:
    """A prompt that was sent to the engine.

    Attributes
    ----------
    tokens : float
        Tokens to process until its first event, with those of the prompts ahead of it.
    slowed : bool
        Whether the engine reported at that time that other work slows it down.
    """

    tokens: float
    slowed: bool


class PrefillSchedule:
    """Prompts sent recently, and prompts that wait to be sent.

    Parameters
    ----------
    speed : PrefillSpeed
        Prefill speed of the service.
    own : EngineSpeed or None
        The engine's own speed compared with it; None for an engine that is equal.
    """

    def __init__(self, speed: PrefillSpeed, own: EngineSpeed | None = None) -> None:
        self._own = own or EngineSpeed()
        self._speed = speed
        self._prefills: deque[_Prefill] = deque()
        self._waiting: dict[str, float] = {}
        self._sent: dict[str, _SentPrompt] = {}
        self._until_ms = 0.0

    @property
    def first_ms(self) -> float:
        """Time to the first event of an empty prompt."""
        return self._speed.first_ms * self._own.slowness

    @property
    def ms_per_token(self) -> float:
        """Usual prefill time of this engine for each token."""
        return self._speed.ms_per_token * self._own.usual_factor

    def prefill_ms(self, tokens: float) -> float:
        """Time that the prefill of so many tokens takes from now on."""
        return self._own.stretched_ms(tokens * self.ms_per_token)

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
        self._sent.pop(ticket, None)

    def fits(self, ticket: str, window: PrefillWindow | None, now_ms: int) -> bool:
        """Whether a reserved prompt may be sent now."""
        if window is None:
            return True
        prefill_ms = self.prefill_ms(self._waiting.get(ticket, 0.0))
        begin_ms = max(self._until_ms, now_ms)
        before_ms = self._prefill_after_ms(begin_ms + prefill_ms - window.length_ms)
        # A prompt beyond the budget by itself is sent when the window has no other prefill.
        return before_ms <= 0 or before_ms + prefill_ms <= window.budget_ms

    def send(self, ticket: str, now_ms: int) -> None:
        """Record that a reserved prompt is sent now."""
        tokens = self._waiting.pop(ticket, 0.0)
        self._speed.note_prompt(tokens)
        prefill_ms = self.prefill_ms(tokens)
        begin_ms = max(self._until_ms, now_ms)
        ahead_tokens = (begin_ms - now_ms) / self.ms_per_token
        self._sent[ticket] = _SentPrompt(tokens + ahead_tokens, self._own.reported > 1)
        self._until_ms = begin_ms + prefill_ms
        self._prefills.append(_Prefill(begin_ms, self._until_ms))
        while self._prefills[0].end_ms < now_ms - LONGEST_WINDOW_MS:
            self._prefills.popleft()

    def learn(self, ticket: str, first_ms: float) -> float | None:
        """Update the service's speed by the time to the first event of a prompt that was sent.

        Returns
        -------
        float or None
            That time against the one expected of the service's engines; None where the time is
            unknown or other work slowed the engine down.
        """
        sent = self._sent.get(ticket)
        if sent is None or first_ms <= 0 or sent.slowed:
            return None
        ratio = first_ms / self._speed.expected_ms(sent.tokens)
        if not self._own.is_slow:
            self._speed.note(sent.tokens, first_ms)
        return ratio

    def first_event_ms(self, ticket: str) -> float:
        """Expected time from sending a reserved prompt to the first event."""
        return self.first_ms + self.prefill_ms(self._waiting.get(ticket, 0.0))

    def sent_ms(self, now_ms: int) -> float:
        """Time until the engine has processed the prompts that it was sent."""
        return max(self._until_ms - now_ms, 0.0)

    def prompts_per_s(self, window: PrefillWindow | None) -> float:
        """Usual prompts that the engine can process in a second."""
        part = window.budget_ms / window.length_ms if window is not None else 1.0
        return part * 1000 / max(self._speed.usual_tokens * self.ms_per_token, 1.0)

    def reserved_ms(self, tickets: Iterable[str]) -> float:
        """Prefill time of those of `tickets` that wait to be sent."""
        return self.prefill_ms(sum(self._waiting.get(ticket, 0.0) for ticket in tickets))

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
