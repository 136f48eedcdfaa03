"""Adaptive timeout for the answer to an order."""

from __future__ import annotations

TIMEOUT_FACTOR = 4
INITIAL_ANSWER_MS = 15.0
"""Assumed answer time before the first answer: a round trip between data centres and the engine's
processing, with a margin."""
AVERAGE_WEIGHT = 0.1
"""The average answer time covers about ten orders."""
MIN_TIMEOUT_MS = 25.0
"""Longer than a pause of either process, so no answer is expected any more after this time. Sending
an order again is harmless, but a longer wait holds up all loads of the engine."""
UNANSWERED_FACTOR = 1.5
"""A missing answer counts as this many average ones. The timeout still adapts to an engine that
becomes slower, and if half of the answers are lost the average stays below three times the usual
one."""


class AnswerTimer:
    """Tracks the average answer time of one engine."""

    def __init__(self) -> None:
        self._average_ms = INITIAL_ANSWER_MS

    @property
    def timeout_ms(self) -> float:
        """Time to wait for an answer before it counts as lost."""
        return max(TIMEOUT_FACTOR * self._average_ms, MIN_TIMEOUT_MS)

    def answered(self, took_ms: float) -> None:
        """Add an answer to the average."""
        self._average_ms += AVERAGE_WEIGHT * (took_ms - self._average_ms)

    def unanswered(self) -> None:
        """Add a missing answer to the average.

        The time spent waiting for it tells nothing about the engine. If it counted in full, the
        timeout for an engine that leaves a third of its orders unanswered would grow up to a
        second, and the engine would load nothing meanwhile.
        """
        self.answered(UNANSWERED_FACTOR * self._average_ms)
