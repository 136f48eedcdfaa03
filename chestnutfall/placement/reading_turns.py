"""Whose prompt an engine reads next."""

from __future__ import annotations

from .engine import Engine
from .waiting import Waiting

URGENT_MS = 100
"""A prompt that must be sent within this time to be in time does not wait for a better moment."""


class ReadingTurns:
    """Turns of the requests that wait for reading, during one round of decisions."""

    def __init__(self) -> None:
        self._full: set[str] = set()

    def begin_round(self) -> None:
        """Ask every engine anew."""
        self._full.clear()

    def may_read(self, engine: Engine, waiting: Waiting, now_ms: int) -> bool:
        """Whether the engine reads this prompt now; to be asked in the order of the queue."""
        ticket = waiting.req.ticket
        slack_ms = waiting.objective_ms(now_ms) - engine.reading.first_event_ms(ticket)
        urgent = 0 <= slack_ms < URGENT_MS
        # Whoever comes behind a long prompt that waits, and is short, would take what becomes
        # free. The long one would be read a tenth of a second later, when no more may queue.
        if engine.instance in self._full and not urgent:
            return False
        if engine.may_read(ticket, urgent, now_ms):
            return True
        self._full.add(engine.instance)
        return False
