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
