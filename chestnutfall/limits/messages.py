"""What gateways and those who decide for upstreams tell each other of limits."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeardLimit:
    """What an upstream said of the requests a second that it takes.

    Attributes
    ----------
    per_s : float or None
        None where it names no limit any more.
    asked_ago_ms : int
        Time since the request was sent that it answered so.
    heard_ago_ms : int
        Time since that answer came.
    """

    instance: str
    per_s: float | None
    asked_ago_ms: int
    heard_ago_ms: int = 0


@dataclass(frozen=True, slots=True)
class RequestLimit:
    """Requests a second that an upstream takes from all gateways together."""

    instance: str
    per_s: float


@dataclass(frozen=True, slots=True)
class LimitsInForce:
    """Limits that are new or have changed, and upstreams that name none any more."""

    limits: tuple[RequestLimit, ...]
    ended: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class AskTurn:
    """A gateway asks for a send to any upstream of a plain service that names a limit.

    Attributes
    ----------
    number : int
        Names the question in its answer.
    avoid : tuple of str
        Instances that failed this call before.
    organisation : str
        Whose call it is; empty where nobody needs a key.
    rank : int
        Urgency, 0 is first.
    wait_ms : int
        How long the call can wait; 0 where another upstream would take it at once.
    """

    number: int
    service: str
    avoid: tuple[str, ...]
    organisation: str
    rank: int
    wait_ms: int


@dataclass(frozen=True, slots=True)
class AnswerTurn:
    """The upstream that the call of question `number` may go to now.

    Attributes
    ----------
    instance : str
        Empty where none takes it in time.
    retry_after_ms : int
        When one might, then.
    """

    number: int
    instance: str
    retry_after_ms: int = 0
