"""What an upstream asked of each gateway, and what came from it all the same."""

from __future__ import annotations

import math
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

SETTLE_S = 0.5
"""Requests that were on their way when an upstream asked for time may still come."""
MOST_IN_BACKOFF = 2
DRAIN_S = 2.0
"""How long after the word of an upstream that leaves a gateway may still send work there."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that came to an upstream."""

    at_s: float
    gateway: str


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """A refusal that asked a gateway for time."""

    at_s: float
    gateway: str
    backoff_s: float


@dataclass(frozen=True, slots=True)
class Disobeyed:
    """A gateway that sent what it was asked not to send.

    Attributes
    ----------
    asked_s : float
        When it was asked.
    got : int
        Requests that came too late after that.
    """

    gateway: str
    asked_s: float
    got: int


@dataclass(slots=True)
class SignalHistory:
    """One incarnation of an upstream.

    Attributes
    ----------
    address : str
        Where gateways reach it.
    left : dict of str to list of float
        When each gateway had an answer that says that it leaves.
    """

    address: str = ""
    arrivals: list[Arrival] = field(default_factory=list)
    turned_away: list[TurnedAway] = field(default_factory=list)
    left: dict[str, list[float]] = field(default_factory=dict)

    def note_arrival(self, gateway: str) -> None:
        """Note a request."""
        self.arrivals.append(Arrival(time.monotonic(), gateway))

    def note_turned_away(self, gateway: str, backoff_s: float) -> None:
        """Note a refusal that asked for time."""
        self.turned_away.append(TurnedAway(time.monotonic(), gateway, backoff_s))

    def note_left(self, gateway: str) -> None:
        """Note an answer that said that it leaves."""
        self.left.setdefault(gateway, []).append(time.monotonic())

    def within(self, gateway: str, from_s: float, until_s: float) -> int:
        """Requests of a gateway that came in a time."""
        return sum(from_s < one.at_s < until_s and one.gateway == gateway for one in self.arrivals)

    def in_backoffs(self) -> Iterator[Disobeyed]:
        """Yield for each refusal what came within the time that it asked for."""
        for one in self.turned_away:
            until_s = one.at_s + one.backoff_s
            got = self.within(one.gateway, one.at_s + SETTLE_S, until_s)
            yield Disobeyed(one.gateway, one.at_s, got)

    def after_leaving(self) -> Iterator[Disobeyed]:
        """Yield for each gateway that was told what came later than it may."""
        for gateway, moments_s in self.left.items():
            got = self.within(gateway, moments_s[0] + DRAIN_S + SETTLE_S, math.inf)
            yield Disobeyed(gateway, moments_s[0], got)
