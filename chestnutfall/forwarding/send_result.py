"""Result of one send, as a closed union."""

from __future__ import annotations

from dataclasses import dataclass

from .call import Headers

TURNED_AWAY = "turned_away"
"""Code of a refusal by an upstream that asks this gateway to back off."""
UNREACHABLE = "unreachable"
"""Code of a refusal: no connection to the upstream could be opened, so nothing was sent."""


@dataclass(frozen=True, slots=True)
class Delivered:
    """The client has the whole answer."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The upstream provably ran nothing; `code` is the reason."""

    code: str


@dataclass(frozen=True, slots=True)
class HeldBack:
    """Nothing was sent: the upstream currently wants no work from this gateway."""


@dataclass(frozen=True, slots=True)
class Lost:
    """The call may have run, and its answer is missing or cut off; `code` is the reason."""

    code: str


@dataclass(frozen=True, slots=True)
class Failed:
    """The upstream ran the call and answered with a failure, which may be relayed."""

    status: int
    headers: Headers
    body: bytes


SendResult = Delivered | Refused | HeldBack | Lost | Failed
