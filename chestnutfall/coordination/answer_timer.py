"""How long to wait for the answer to an order."""

from __future__ import annotations

FACTOR = 4
FIRST_MS = 15.0
"""A round trip between data centres and the engine's work, with a margin, until measured."""
WEIGHT = 0.1
"""The usual answer is an average over about ten orders."""
LEAST_MS = 25.0
"""An answer that takes four times as long as usual, and longer than a stutter of either process,
will not come; a second send does no harm, and a longer wait holds up all loads of the engine."""
UNANSWERED_FACTOR = 1.5
"""What a missing answer counts for, in usual ones: a slower engine is learned of, and even if half
of the answers are lost the average stays below three usual ones."""


class AnswerTimer:
    """Learns how long one engine takes to answer."""

    def __init__(self) -> None:
        self._usual_ms = FIRST_MS

    @property
    def wait_ms(self) -> float:
        """After this time no answer will come."""
        return max(FACTOR * self._usual_ms, LEAST_MS)

    def answered(self, took_ms: float) -> None:
        """Take in an answer."""
        self._usual_ms += WEIGHT * (took_ms - self._usual_ms)

    def unanswered(self) -> None:
        """Take in that none came.

        The time waited for it says nothing of the engine. Counted in full, an engine that leaves
        a third of its orders unanswered is waited for longer and longer, up to a second, and
        loads nothing meanwhile.
        """
        self.answered(UNANSWERED_FACTOR * self._usual_ms)
