"""Order in which engines are sent the prompts that wait for them."""

from __future__ import annotations

from .engine import Engine
from .waiting_request import WaitingRequest

URGENT_MS = 100
"""A prompt that must be sent within this time to be in time does not wait for room in the
window."""


class PrefillTurns:
    """Keeps the order of the queue among the prompts of each engine during one decision round."""

    def __init__(self) -> None:
        self._full: set[str] = set()

    def begin_round(self) -> None:
        """Forget which engines were full in the last round."""
        self._full.clear()

    def may_prefill(self, engine: Engine, waiting: WaitingRequest, now_ms: int) -> bool:
        """Whether the engine may be sent this prompt now; called in the order of the queue."""
        ticket = waiting.req.ticket
        slack_ms = waiting.objective_ms(now_ms) - engine.prefill.first_event_ms(ticket)
        urgent = 0 <= slack_ms < URGENT_MS
        # Otherwise short prompts behind a long one would use up the budget as it becomes free, and
        # delay the long prompt by a tenth of a second, until no more prompts may queue.
        if engine.instance in self._full and not urgent:
            return False
        if engine.may_prefill(ticket, urgent, now_ms):
            return True
        self._full.add(engine.instance)
        return False
