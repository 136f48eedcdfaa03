"""The closed union of what became of one send."""

from __future__ import annotations

from dataclasses import dataclass

from .call import Headers

TURNED_AWAY = "turned_away"
"""Code of a refusal by an upstream that asks this gateway for time."""


@dataclass(frozen=True, slots=True)
class Delivered:
    """The answer reached the client whole."""


@dataclass(frozen=True, slots=True)
class Refused:
    """Nothing ran, provably; `code` says why."""

    code: str


@dataclass(frozen=True, slots=True)
class HeldBack:
    """Nothing was sent: the upstream wants no work from this gateway now."""


@dataclass(frozen=True, slots=True)
class Lost:
    """It may have run, and its answer is missing or cut off."""

    code: str


@dataclass(frozen=True, slots=True)
class Failed:
    """The upstream ran it and answered with a failure, which may be relayed."""

    status: int
    headers: Headers
    body: bytes


SendResult = Delivered | Refused | HeldBack | Lost | Failed
