"""Messages about limits between gateways and the processes that schedule requests."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeardLimit:
    """A gateway reports the limit that an upstream's answer declared.

    Attributes
    ----------
    per_s : float or None
        Requests per second; None if the upstream no longer declares a limit.
    asked_ago_ms : int
        Time since the gateway sent the request of that answer.
    heard_ago_ms : int
        Time since the gateway received that answer.
    """

    instance: str
    per_s: float | None
    asked_ago_ms: int
    heard_ago_ms: int = 0


@dataclass(frozen=True, slots=True)
class RequestLimit:
    """Requests per second that an upstream accepts from all gateways together."""

    instance: str
    per_s: float


@dataclass(frozen=True, slots=True)
class LimitsInForce:
    """The leader informs gateways which limits are new or changed, and which have ended.

    Attributes
    ----------
    ended : tuple of str
        Instances that no longer declare a limit.
    """

    limits: tuple[RequestLimit, ...]
    ended: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class AskTurn:
    """A gateway asks to send a call to any limited upstream of a plain service.

    Attributes
    ----------
    number : int
        Identifies the question; repeated in its answer.
    avoid : tuple of str
        Instances that already failed this call.
    organisation : str
        The organisation whose call it is; empty if the service requires no key.
    rank : int
        Urgency; 0 goes first.
    wait_ms : int
        How long the call can wait; 0 if another upstream would accept it at once.
    """

    number: int
    service: str
    avoid: tuple[str, ...]
    organisation: str
    rank: int
    wait_ms: int


@dataclass(frozen=True, slots=True)
class AnswerTurn:
    """Answers question `number`: the call goes to `instance` now, or is refused.

    Attributes
    ----------
    instance : str
        Empty if no upstream accepts the call in time.
    retry_after_ms : int
        For a refused call, the time after which an upstream may accept it.
    """

    number: int
    instance: str
    retry_after_ms: int = 0
