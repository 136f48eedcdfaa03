"""How many gateways share a budget."""

from __future__ import annotations

from ..clock import Clock

REMEMBERED_MS = 10_000
"""As long as the windows in which repeats are counted."""


class RecentGateways:
    """The largest number told lately.

    A new leader counts only the gateways that have found it. Taken at its word, the first of them
    would each believe to have the slack of all for themselves, and together repeat many times
    more than is allowed, just when many requests fail.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._most = 1
        self._told_ms = clock.now_ms()

    def tell(self, gateways: int) -> None:
        """Take what a leader counts."""
        now_ms = self._clock.now_ms()
        if gateways >= self._most or now_ms - self._told_ms > REMEMBERED_MS:
            self._most = max(gateways, 1)
            self._told_ms = now_ms

    @property
    def present(self) -> int:
        """The number to divide by."""
        return self._most
