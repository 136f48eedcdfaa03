"""Calls that a gateway may send to a service that is short of room while it has no leader."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from ..clock import Clock

LEADERLESS_FRACTION = 0.5
"""Part of the room that gateways without a leader share. A gateway that is cut off can't know
whether the others still have a leader, which may give out all of it meanwhile."""
DEVIATIONS = 3
"""Where shares are given by chance, their expected sum stays so many standard deviations below the
room."""
DRAIN_RUNS = 1.5
"""Usual runs for which nothing is sent after the leader is lost: by then the calls have ended to
which it had given the whole room."""


class LeaderlessRoom:
    """Gives this gateway an equal share of each service's room, by chance where it is below one.

    Parameters
    ----------
    gateways : callable
        Returns the number of gateways that share the room.
    """

    def __init__(self, gateways: Callable[[], int], clock: Clock, rng: random.Random) -> None:
        self._gateways = gateways
        self._clock = clock
        self._rng = rng
        self._lost_ms: int | None = None
        self._drawn: dict[str, tuple[int, int]] = {}

    @property
    def lost_ms(self) -> int | None:
        """Clock time at which the leader was lost; None while there is one."""
        return self._lost_ms

    def leader_lost(self) -> None:
        """Note that a question was not answered; only the first one counts."""
        if self._lost_ms is None:
            self._lost_ms = self._clock.now_ms()

    def leader_found(self) -> None:
        """Note that a leader answers."""
        self._lost_ms = None
        self._drawn = {}

    def may_send(self, service: str, places: int, running: int, run_ms: float) -> bool:
        """Return whether one more call may be sent.

        Parameters
        ----------
        places : int
            Calls that all upstreams of the service run at once.
        running : int
            Calls of this gateway in progress there.
        run_ms : float
            Usual time of a call.
        """
        now_ms = self._clock.now_ms()
        if self._lost_ms is None or now_ms - self._lost_ms < DRAIN_RUNS * run_ms:
            return False
        return running < self._share(service, places, run_ms, now_ms)

    def _share(self, service: str, places: int, run_ms: float, now_ms: int) -> int:
        """Draw this gateway's share for the time of one run.

        A share that held longer would idle where it is less than one place: few calls come to each
        of many gateways. Calls wait for the next draw.
        """
        until_ms, share = self._drawn.get(service, (now_ms, 0))
        if now_ms < until_ms:
            return share
        mean = shared_places(places) / max(self._gateways(), 1)
        share = int(mean) + (self._rng.random() < mean - int(mean))
        self._drawn[service] = now_ms + max(int(run_ms), 1), share
        return share


def shared_places(places: int) -> float:
    """Expected number of places that gateways without a leader use together.

    If x of them are drawn independently, the standard deviation of their number is at most the
    square root of x.
    """
    # Solves x + DEVIATIONS * sqrt(x) = places.
    root = (math.sqrt(DEVIATIONS**2 + 4 * places) - DEVIATIONS) / 2
    return min(root**2, LEADERLESS_FRACTION * places)
