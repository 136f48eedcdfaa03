"""How often loads from the weight store may start."""

from __future__ import annotations

from ..clock import Clock

MAX_TOKENS = 1.0


class LoadBudget:
    """A token bucket that starts empty.

    A new leader does not know how many loads the old one allowed a moment ago; starting empty it
    can't exceed the rate together with it.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._tokens = 0.0
        self._filled_ms = clock.now_ms()

    def take(self, per_s: float) -> bool:
        """Take one load; False when the budget is spent."""
        now_ms = self._clock.now_ms()
        self._tokens += (now_ms - self._filled_ms) * per_s / 1000
        self._filled_ms = now_ms
        # Saved-up tokens would let a burst through after an idle hour, on top of the rate.
        self._tokens = min(self._tokens, MAX_TOKENS)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def give_back(self) -> None:
        """Return a load that did not start."""
        self._tokens += 1
