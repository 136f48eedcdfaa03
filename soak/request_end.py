"""How a request ended, as its client saw it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from chestnutfall.platform.standin.client import (
    CLIENT_TIMEOUT_S,
    DEADLINE_MS,
    ClientResult,
)
from chestnutfall.platform.standin.connecting_client import DEADLINE_MS as CONNECTING_DEADLINE_MS
from chestnutfall.platform.standin.connecting_client import NO_ANSWER_STATUS, ConnectingAttempt
from chestnutfall.platform.standin.document_change import SHORTEST_TIMEOUT_MS
from chestnutfall.platform.standin.stream_caller import DEADLINE_MS as STREAM_DEADLINE_MS
from chestnutfall.platform.standin.stream_caller import StreamAttempt

MARGIN_S = 0.1
"""A client's time is up by so much sooner than it measures, since its own loop is busy."""


class Ending(Enum):
    """What the client got."""

    WHOLE = "whole"
    REFUSED = "refused"
    BROKEN_OFF = "broken off"
    NO_ANSWER = "no answer"


@dataclass(frozen=True, slots=True)
class RequestEnd:
    """How one request ended.

    Attributes
    ----------
    gateway : str
        Address that it was sent to.
    sent_s, ended_s : float
        Times of `time.monotonic`.
    deadline_s : float
        Time from `sent_s` in which it was to be answered.
    left : bool
        Whether the client closed the connection on purpose.
    waited_out : bool
        Whether the client gave up at the end of its time.
    connected : bool
        Whether there was a connection to send it on.
    idle_s : float or None
        How long the connection had been kept without a request; None for a new one.
    """

    request_id: str
    route: str
    gateway: str
    sent_s: float
    ended_s: float
    deadline_s: float
    ending: Ending
    status: int
    reason: str = ""
    left: bool = False
    waited_out: bool = False
    connected: bool = True
    idle_s: float | None = None

    def describe(self) -> str:
        """Return what is told of it in a finding."""
        took_s = self.ended_s - self.sent_s
        what = f"{self.route} {self.request_id} at {self.gateway}: {self.ending.value}"
        return f"{what} {self.status} {self.reason} after {took_s:.2f} s".replace("  ", " ")


def of_client(one: ClientResult) -> RequestEnd:
    """Return the end of a request of a `StandInClient`."""
    return RequestEnd(
        one.request_id,
        one.route,
        one.gateway,
        one.sent_s,
        one.sent_s + one.took_s,
        _deadline_s(DEADLINE_MS),
        _ending(one.status, one.complete),
        one.status,
        one.reason,
        waited_out=not one.complete and one.took_s > CLIENT_TIMEOUT_S - MARGIN_S,
        connected=one.connected,
        idle_s=one.idle_s,
    )


def of_attempt(one: StreamAttempt) -> RequestEnd:
    """Return the end of an attempt of a `StreamCaller`."""
    return RequestEnd(
        one.request_id,
        "long",
        one.gateway,
        one.sent_s,
        one.sent_s + one.took_s,
        _deadline_s(STREAM_DEADLINE_MS),
        _ending(one.status, one.whole or one.status != 200),
        one.status,
        one.reason,
        one.left,
        waited_out=one.took_s > STREAM_DEADLINE_MS / 1000 - MARGIN_S,
        connected=one.connected,
    )


def of_connecting(one: ConnectingAttempt) -> RequestEnd:
    """Return the end of a request of a `ConnectingClient`."""
    return RequestEnd(
        one.request_id,
        "again",
        one.gateway,
        one.sent_s,
        one.sent_s + one.took_s,
        _deadline_s(CONNECTING_DEADLINE_MS),
        _ending(max(one.status, 0), one.whole or one.status != 200),
        one.status,
        one.reason,
        waited_out=one.status == NO_ANSWER_STATUS,
        connected=one.connected,
    )


def _deadline_s(client_ms: int) -> float:
    """Return the time that a request has by its client, and by the timeout of its route."""
    return min(client_ms, SHORTEST_TIMEOUT_MS) / 1000


def _ending(status: int, complete: bool) -> Ending:
    if not status:
        return Ending.NO_ANSWER
    if not complete:
        return Ending.BROKEN_OFF
    return Ending.WHOLE if status == 200 else Ending.REFUSED
