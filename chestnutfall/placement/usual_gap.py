"""Usual time between two events of the streams of one service."""

from __future__ import annotations

import math

STEP = 0.005
FIRST_STEP = 0.3
"""Steps of the running median, from the first answer on; they shrink to `STEP` as answers come."""
MIN_ANSWERS = 50
"""Until so many streams were seen, no stream is compared with the others."""


class UsualGap:
    """Running median of the gaps of a service's streams, all engines together.

    Attributes
    ----------
    gap_ms : float
        The median; 0 before the first stream.
    """

    def __init__(self) -> None:
        self.gap_ms = 0.0
        self._answers = 0

    def note(self, gap_ms: float) -> None:
        """Record the gap of a stream; 0 where it had none."""
        if gap_ms <= 0:
            return
        self._answers += 1
        if not self.gap_ms:
            self.gap_ms = gap_ms
        step = max(STEP, FIRST_STEP / math.sqrt(self._answers))
        self.gap_ms *= 1 + math.copysign(step, gap_ms - self.gap_ms)

    def ratio(self, gap_ms: float) -> float | None:
        """Return a stream's gap against the usual one; None where either is unknown."""
        if gap_ms <= 0 or self._answers < MIN_ANSWERS:
            return None
        return gap_ms / self.gap_ms

    def rescale(self, factor: float) -> None:
        """Multiply the median."""
        self.gap_ms *= factor
