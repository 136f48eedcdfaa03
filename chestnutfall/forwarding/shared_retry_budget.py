"""One gateway's share of the bound on repeats."""

from __future__ import annotations

import random

from ..clock import Clock, SlidingWindow
from ..coordination.repeat_pool import POOL_SHARE, SAFETY_FACTOR
from ..settings.repeat_bounds import RepeatBounds

STARTING_SHARE = 0.5
"""Part of its share of the slack that a gateway has at the end of its first window. With this, what
it spent before it was killed and what it spends after each further start stay within one and a half
shares, however often it is killed: the part of the bound that is left unused covers that."""


class SharedRetryBudget:
    """Sliding window over this gateway's requests and repeats for one service.

    A gateway may use its share of the slack that the leader does not give out, plus the ratio of
    its own requests. The sum over all gateways then keeps the bound without any messages between
    them.

    A gateway that was killed doesn't know what it had spent, which counts for a window. Its share
    of the slack begins with nothing at each start, and grows.

    Parameters
    ----------
    started_ms : int
        Clock time at which the gateway started.
    """

    def __init__(
        self, bounds: RepeatBounds, clock: Clock, rng: random.Random, started_ms: int
    ) -> None:
        self._bounds = bounds
        self._clock = clock
        self._started_ms = started_ms
        self._requests = SlidingWindow(bounds.window_ms)
        self._repeats = SlidingWindow(bounds.window_ms)
        # With two hundred gateways, each share of the slack is less than one repeat. Rounded down,
        # no gateway could repeat anything without a leader. A random part added once per gateway
        # gives each gateway one repeat or none, and all gateways together their full share.
        self._rounding_offset = rng.random()

    def note_request(self) -> None:
        """Count a client's request."""
        self._requests.note(self._clock.now_ms())

    def allows(self, gateways: int, share: float = 1.0) -> bool:
        """Whether a repeat is left in a share of the budget.

        Parameters
        ----------
        gateways : int
            Number of gateways that share the slack.
        """
        now_ms = self._clock.now_ms()
        requests = self._requests.count(now_ms)
        slack = (1 - POOL_SHARE) * self._bounds.slack / max(gateways, 1)
        grown = self._grown(now_ms)
        own = grown * slack + self._bounds.ratio * requests
        repeats = self._repeats.count(now_ms)
        return repeats + 1 <= share * SAFETY_FACTOR * own + grown * self._rounding_offset

    def _grown(self, now_ms: int) -> float:
        """Return the part of its share of the slack that this gateway has now."""
        running = (now_ms - self._started_ms) / self._bounds.window_ms
        return 1.0 if running >= 1 else STARTING_SHARE * running

    def spend(self, gateways: int, share: float = 1.0) -> bool:
        """Take one repeat; return False if none is left in a share of the budget."""
        if not self.allows(gateways, share):
            return False
        self._repeats.note(self._clock.now_ms())
        return True

    def give_back(self, taken_ms: int) -> bool:
        """Return a repeat that was taken at `taken_ms`; False if none is in the window."""
        return self._repeats.remove(taken_ms)
