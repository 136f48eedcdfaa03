"""Number of gateways that share a budget."""

from __future__ import annotations

from ..clock import Clock

REMEMBERED_MS = 10_000
"""How long a larger count stays in use; as long as the windows in which repeats are counted."""


class RecentGateways:
    """The largest gateway count received from leaders recently.

    A new leader counts only the gateways that have connected to it. If gateways used its first
    counts, each of the first ones would claim the whole budget, and together they would repeat many
    times more than allowed, just when many requests fail.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._largest = 1
        self._noted_ms = clock.now_ms()

    def note_count(self, gateways: int) -> None:
        """Record the gateway count of a leader."""
        now_ms = self._clock.now_ms()
        if gateways >= self._largest or now_ms - self._noted_ms > REMEMBERED_MS:
            self._largest = max(gateways, 1)
            self._noted_ms = now_ms

    @property
    def present(self) -> int:
        """Number of gateways among which budgets are divided, at least 1."""
        return self._largest
