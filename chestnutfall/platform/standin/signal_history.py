"""What an upstream asked of each gateway, and what came from it all the same."""

from __future__ import annotations

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
    """One incarnation of an upstream."""

    arrivals: list[Arrival] = field(default_factory=list)
    turned_away: list[TurnedAway] = field(default_factory=list)
    left: dict[str, float] = field(default_factory=dict)

    def note_arrival(self, gateway: str) -> None:
        """Note a request."""
        self.arrivals.append(Arrival(time.monotonic(), gateway))

    def note_turned_away(self, gateway: str, backoff_s: float) -> None:
        """Note a refusal that asked for time."""
        self.turned_away.append(TurnedAway(time.monotonic(), gateway, backoff_s))

    def note_left(self, gateway: str) -> None:
        """Note an answer that said that it leaves."""
        self.left.setdefault(gateway, time.monotonic())

    def in_backoffs(self) -> Iterator[Disobeyed]:
        """Yield for each refusal what came within the time that it asked for."""
        for one in self.turned_away:
            from_s, until_s = one.at_s + SETTLE_S, one.at_s + one.backoff_s
            got = sum(
                from_s < arrival.at_s < until_s and arrival.gateway == one.gateway
                for arrival in self.arrivals
            )
            yield Disobeyed(one.gateway, one.at_s, got)

    def after_leaving(self) -> Iterator[Disobeyed]:
        """Yield for each gateway that was told what came later than it may."""
        for gateway, told_s in self.left.items():
            from_s = told_s + DRAIN_S + SETTLE_S
            got = sum(one.at_s > from_s and one.gateway == gateway for one in self.arrivals)
            yield Disobeyed(gateway, told_s, got)
