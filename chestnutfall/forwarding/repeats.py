"""Budget of repeated sends on this gateway."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

from ..clock import Clock, SlidingWindow
from ..settings.repeat_bounds import RepeatBounds
from .shared_retry_budget import SharedRetryBudget

UNSENT_LIFE_MS = 1_000
"""How long after it was taken a repeat that was not sent can still be used."""
SILENCE_SHARE = 0.75
"""Share of the budget up to which calls with a silent upstream may use it. The rest is left to
calls that lost their answer: a silent upstream may still go on."""


class Repeats:
    """Bounds repeats per service: this gateway's share first, then repeats from the leader.

    Parameters
    ----------
    gateways : callable
        Returns the number of gateways that share the bound.
    borrow : callable
        Asks the leader for one repeat for a service; False if it gives none.
    started_ms : int
        Clock time at which this gateway may have been killed and begun anew.
    """

    def __init__(
        self,
        bounds: RepeatBounds,
        gateways: Callable[[], int],
        borrow: Callable[[str], Awaitable[bool]],
        clock: Clock,
        rng: random.Random,
        started_ms: int,
    ) -> None:
        self._bounds = bounds
        self._gateways = gateways
        self._borrow = borrow
        self._clock = clock
        self._rng = rng
        self._started_ms = started_ms
        self._own: dict[str, SharedRetryBudget] = {}
        self._unsent: dict[str, SlidingWindow] = {}

    def note_request(self, service: str) -> None:
        """Count a client's request, which raises the budget of its service."""
        self._budget(service).note_request()

    def refund(self, service: str) -> None:
        """Return a repeat that was taken but not sent."""
        self._unsent.setdefault(service, SlidingWindow(UNSENT_LIFE_MS)).note(self._clock.now_ms())

    def refund_kept(self, service: str, taken_ms: int) -> None:
        """Return a repeat that was kept since `taken_ms` and not sent.

        It is as if it had not been taken. Once it is out of the window, the budget has another one
        in its place.
        """
        if self._clock.now_ms() - taken_ms >= self._bounds.window_ms:
            return
        # What is not in the window was one that another call returned.
        if not self._budget(service).give_back(taken_ms):
            self.refund(service)

    def unsent(self, service: str) -> int:
        """Return the number of repeats that were returned unsent and can still be used."""
        unsent = self._unsent.get(service)
        return unsent.count(self._clock.now_ms()) if unsent is not None else 0

    async def spend(self, service: str, upstream_is_busy: bool) -> bool:
        """Take one repeat; return False if none is left.

        Parameters
        ----------
        upstream_is_busy : bool
            Whether the previous send ended because its upstream is overloaded. Such a call gets no
            repeat from the leader.
        """
        if self.unsent(service):
            self._unsent[service].drop_oldest()
            return True
        if self._budget(service).spend(self._gateways()):
            return True
        # If upstreams fail some of their requests, each repeat helps a client. If there are too few
        # upstreams, each repeat adds to the load that made it necessary.
        return not upstream_is_busy and await self._borrow(service)

    def has_for_silence(self, service: str) -> bool:
        """Whether `spend_for_silence` would take a repeat now."""
        if self.unsent(service):
            return True
        return self._budget(service).allows(self._gateways(), SILENCE_SHARE)

    def spend_for_silence(self, service: str) -> bool:
        """Take one repeat for a call whose upstream is silent; return False if none is left.

        The leader is not asked: silence comes from overload more often than from a failure.
        """
        if self.unsent(service):
            self._unsent[service].drop_oldest()
            return True
        return self._budget(service).spend(self._gateways(), SILENCE_SHARE)

    def _budget(self, service: str) -> SharedRetryBudget:
        if service not in self._own:
            self._own[service] = SharedRetryBudget(
                self._bounds, self._clock, self._rng, self._started_ms
            )
        return self._own[service]
