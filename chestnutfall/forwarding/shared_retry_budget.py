"""How many repeats one gateway may send, so that all together stay below the bound."""

from __future__ import annotations

import random

from ..clock import Clock, SlidingWindow
from ..coordination.repeat_pool import POOL_PART, SAFETY
from ..settings.repeat_bounds import RepeatBounds


class SharedRetryBudget:
    """A sliding window over this gateway's requests and repeats, for one service.

    A gateway is allowed its share of the slack that the leader does not give out, and the ratio of
    its own requests. The sum over all gateways then keeps the bound without a word between them.
    """

    def __init__(self, bounds: RepeatBounds, clock: Clock, rng: random.Random) -> None:
        self._bounds = bounds
        self._clock = clock
        self._requests = SlidingWindow(bounds.window_ms)
        self._repeats = SlidingWindow(bounds.window_ms)
        # Of two hundred gateways each has a share of less than one repeat. Rounded down, none has
        # any while there is no leader; with a chance of its own, this gateway has one or none, and
        # all together have what they should.
        self._chance = rng.random()

    def note_request(self) -> None:
        """Count a client's request."""
        self._requests.note(self._clock.now_ms())

    def spend(self, gateways: int) -> bool:
        """Take one repeat; False when there is none left."""
        now_ms = self._clock.now_ms()
        requests = self._requests.count(now_ms)
        slack = (1 - POOL_PART) * self._bounds.slack / max(gateways, 1)
        own = slack + self._bounds.ratio * requests
        if self._repeats.count(now_ms) + 1 > SAFETY * own + self._chance:
            return False
        self._repeats.note(now_ms)
        return True
