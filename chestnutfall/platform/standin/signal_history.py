"""The signals that an upstream sent to each gateway, and the requests that came after them."""

from __future__ import annotations

import math
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

SETTLE_S = 0.5
"""Requests that were on their way when the signal was sent may arrive within this time."""
MAX_IN_BACKOFF = 2
"""Requests that a gateway may send within one backoff."""
DRAIN_S = 2.0
"""Time after the signal that an upstream leaves in which a gateway may still send requests."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached the upstream; `gateway` is the one that the client called."""

    at_s: float
    gateway: str


@dataclass(frozen=True, slots=True)
class BackoffRefusal:
    """A refusal that asked a gateway to back off for `backoff_s`."""

    at_s: float
    gateway: str
    backoff_s: float


@dataclass(frozen=True, slots=True)
class RequestsAfterSignal:
    """Number of requests that a gateway sent after a signal against them; may be zero.

    Attributes
    ----------
    asked_s : float
        Time of the signal.
    got : int
        Requests that arrived although the signal had time to take effect.
    """

    gateway: str
    asked_s: float
    got: int


@dataclass(slots=True)
class SignalHistory:
    """Signals and arrivals of one incarnation of an upstream; times are those of `time.monotonic`.

    Attributes
    ----------
    address : str
        Address at which gateways reach it.
    leaving_answers_s : dict of str to list of float
        Times at which each gateway got an answer with the header that the upstream leaves.
    """

    address: str = ""
    arrivals: list[Arrival] = field(default_factory=list)
    backoff_refusals: list[BackoffRefusal] = field(default_factory=list)
    leaving_answers_s: dict[str, list[float]] = field(default_factory=dict)

    def note_arrival(self, gateway: str) -> None:
        """Record a request that a client sent through `gateway`."""
        self.arrivals.append(Arrival(time.monotonic(), gateway))

    def note_backoff_refusal(self, gateway: str, backoff_s: float) -> None:
        """Record a refusal that asked `gateway` to back off."""
        self.backoff_refusals.append(BackoffRefusal(time.monotonic(), gateway, backoff_s))

    def note_leaving_answer(self, gateway: str) -> None:
        """Record an answer to `gateway` with the header that the upstream leaves."""
        self.leaving_answers_s.setdefault(gateway, []).append(time.monotonic())

    def count_between(self, gateway: str, from_s: float, until_s: float) -> int:
        """Count the requests of a gateway that arrived between two times."""
        return sum(from_s < one.at_s < until_s and one.gateway == gateway for one in self.arrivals)

    def requests_in_backoffs(self) -> Iterator[RequestsAfterSignal]:
        """Yield for each refusal the requests that arrived within its backoff."""
        for one in self.backoff_refusals:
            until_s = one.at_s + one.backoff_s
            got = self.count_between(one.gateway, one.at_s + SETTLE_S, until_s)
            yield RequestsAfterSignal(one.gateway, one.at_s, got)

    def requests_after_leaving(self) -> Iterator[RequestsAfterSignal]:
        """Yield for each gateway that got the signal the requests that arrived too late."""
        for gateway, moments_s in self.leaving_answers_s.items():
            got = self.count_between(gateway, moments_s[0] + DRAIN_S + SETTLE_S, math.inf)
            yield RequestsAfterSignal(gateway, moments_s[0], got)
