"""The closed union of what an answer says of the time that its upstream wants for itself."""

from __future__ import annotations

import math
from dataclasses import dataclass
from email.utils import parsedate_to_datetime

BACKOFF_HEADER = "Retry-After"
"""Standard HTTP, and the same in every dialect."""
BACKING_OFF = "backing_off"
"""Reason of a refusal where each upstream asked for time, or leaves."""
TURNED_AWAY = frozenset({429, 503})
"""Answers whose Retry-After is about the upstream; with 3xx it is about the resource."""
MOST_BACKOFF_MS = 86_400_000
"""A day. Longer ones hold for a day: by then the upstream or this gateway was started again, and a
slip of units does not take an upstream away for good."""
MOST_TEXT = 40
"""Characters of something unreadable that are kept; it goes into logs."""


@dataclass(frozen=True, slots=True)
class AskedBackoff:
    """The upstream wants no request from this gateway for `ms`."""

    ms: int


@dataclass(frozen=True, slots=True)
class NoBackoff:
    """The answer asks for no time."""


@dataclass(frozen=True, slots=True)
class UnreadableBackoff:
    """The answer asks for something that is no time."""

    text: str


BackoffWord = AskedBackoff | NoBackoff | UnreadableBackoff


def read_backoff(status: int, text: str | None, date: str | None) -> BackoffWord:
    """Read the time that an answer asks for.

    Parameters
    ----------
    text : str or None
        Retry-After: seconds, or a moment as an HTTP date (RFC 9110, section 10.2.3).
    date : str or None
        The answer's own Date, against which a moment is read: our clock may differ from the
        upstream's, and may be set while we wait.
    """
    if text is None or status not in TURNED_AWAY:
        return NoBackoff()
    seconds = _seconds(text)
    if seconds is None:
        seconds = _seconds_until(text, date)
    if seconds is None:
        return UnreadableBackoff(text[:MOST_TEXT])
    return AskedBackoff(math.ceil(min(seconds * 1000, MOST_BACKOFF_MS)))


def _seconds(text: str) -> float | None:
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds >= 0 and "_" not in text else None


def _seconds_until(text: str, date: str | None) -> float | None:
    if date is None:
        return None
    try:
        seconds = (parsedate_to_datetime(text) - parsedate_to_datetime(date)).total_seconds()
    except (TypeError, ValueError, OverflowError):
        return None
    return max(seconds, 0.0)


def backoff_text(word: BackoffWord) -> str:
    """The word as it stands in logs; empty for none."""
    match word:
        case AskedBackoff(ms):
            return f"{ms}"
        case UnreadableBackoff(text):
            return f"?{text!r}"
        case NoBackoff():
            return ""
