"""Which repeats this gateway may send."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

from ..clock import Clock, SlidingWindow
from ..settings.repeat_bounds import RepeatBounds
from .shared_retry_budget import SharedRetryBudget

UNUSED_MS = 1_000
"""How long a repeat that was not sent may still be; it counts from when it was taken."""


class Repeats:
    """This gateway's own share for each service, and beyond it what the leader gives.

    Parameters
    ----------
    gateways : callable
        How many gateways share the bound.
    borrow : callable
        Asks the leader for one repeat for a service; False when it gives none.
    """

    def __init__(
        self,
        bounds: RepeatBounds,
        gateways: Callable[[], int],
        borrow: Callable[[str], Awaitable[bool]],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._bounds = bounds
        self._gateways = gateways
        self._borrow = borrow
        self._clock = clock
        self._rng = rng
        self._own: dict[str, SharedRetryBudget] = {}
        self._unused: dict[str, SlidingWindow] = {}

    def note_request(self, service: str) -> None:
        """Count a client's request."""
        self._of(service).note_request()

    def give_back(self, service: str) -> None:
        """Take back a repeat that was not sent."""
        self._unused.setdefault(service, SlidingWindow(UNUSED_MS)).note(self._clock.now_ms())

    def unused(self, service: str) -> int:
        """Repeats that were taken and not sent, and may still be."""
        unused = self._unused.get(service)
        return unused.count(self._clock.now_ms()) if unused is not None else 0

    async def spend(self, service: str, upstream_is_busy: bool) -> bool:
        """Take one repeat; False when there is none left.

        Parameters
        ----------
        upstream_is_busy : bool
            Whether the send before ended because its upstream has too much to do.
        """
        if self.unused(service):
            self._unused[service].drop_oldest()
            return True
        if self._of(service).spend(self._gateways()):
            return True
        # When upstreams fail a part of what they run, each repeat helps its caller. When there are
        # too few of them, each one adds to the load that made it necessary.
        return not upstream_is_busy and await self._borrow(service)

    def _of(self, service: str) -> SharedRetryBudget:
        if service not in self._own:
            self._own[service] = SharedRetryBudget(self._bounds, self._clock, self._rng)
        return self._own[service]
