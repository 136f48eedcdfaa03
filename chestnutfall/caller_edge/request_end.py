"""The ways in which a caller's request may end."""

from __future__ import annotations

from dataclasses import dataclass

from aiohttp import web

from ..requests import Refusal


@dataclass(frozen=True, slots=True)
class Answered:
    """The whole answer was written."""

    response: web.StreamResponse


@dataclass(frozen=True, slots=True)
class Refused:
    """No answer has begun; the caller gets an error response."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class BrokenOff:
    """A stream that has begun can't be completed; the caller gets an error event and a break."""

    refusal: Refusal
    stream: web.StreamResponse


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller's connection is closed, so that nothing can be written."""

    error: BaseException


@dataclass(frozen=True, slots=True)
class Stopped:
    """This process cancelled the request while its caller was connected."""

    error: BaseException


@dataclass(frozen=True, slots=True)
class Failed:
    """An error that no part of the gateway expects."""

    error: BaseException


RequestEnd = Answered | Refused | BrokenOff | CallerLeft | Stopped | Failed


def reason_of(end: RequestEnd) -> str:
    """Return the reason in log lines and metric names."""
    match end:
        case Answered():
            return "answered"
        case Refused():
            return "refused"
        case BrokenOff():
            return "broken_off"
        case CallerLeft():
            return "caller_left"
        case Stopped():
            return "stopped"
        case Failed():
            return "failed"
