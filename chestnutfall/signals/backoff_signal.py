"""The backoff that an upstream's answer asks for, as a closed union."""

from __future__ import annotations

import math
from dataclasses import dataclass
from email.utils import parsedate_to_datetime

from ..limits.unreadable_value import kept_of, unreadable_text

BACKOFF_HEADER = "Retry-After"
"""Standard HTTP, and so the same in every dialect."""
BACKING_OFF = "backing_off"
"""Reason of a refusal if every upstream asked for a backoff or is leaving."""
BACKOFF_STATUSES = frozenset({429, 503})
"""Statuses with which Retry-After concerns the upstream; with 3xx it concerns the resource."""
MAX_BACKOFF_MS = 86_400_000
"""A day; longer backoffs are cut to it. By then the upstream or this gateway has been restarted,
and a mistaken unit does not remove an upstream for good."""


@dataclass(frozen=True, slots=True)
class AskedBackoff:
    """The upstream asks for no requests from this gateway for `ms`."""

    ms: int


@dataclass(frozen=True, slots=True)
class NoBackoff:
    """The answer asks for no backoff."""


@dataclass(frozen=True, slots=True)
class UnreadableBackoff:
    """The value of Retry-After is no valid time."""

    text: str


BackoffSignal = AskedBackoff | NoBackoff | UnreadableBackoff


def read_backoff(status: int, text: str | None, date: str | None) -> BackoffSignal:
    """Parse the backoff that an answer asks for.

    Parameters
    ----------
    text : str or None
        Value of Retry-After: seconds, also with decimals, or an HTTP date (RFC 9110, section
        10.2.3); None without the header.
    date : str or None
        The answer's own Date header. An HTTP date in `text` is read relative to it, since this
        host's clock may differ from the upstream's and may be adjusted during the backoff.
    """
    if text is None or status not in BACKOFF_STATUSES:
        return NoBackoff()
    seconds = _seconds(text)
    if seconds is None:
        seconds = _seconds_until(text, date)
    if seconds is None:
        return UnreadableBackoff(kept_of(text))
    return AskedBackoff(math.ceil(min(seconds * 1000, MAX_BACKOFF_MS)))


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


def backoff_text(signal: BackoffSignal) -> str:
    """Format a backoff signal for logs, in ms; empty if the answer asked for none."""
    match signal:
        case AskedBackoff(ms):
            return f"{ms}"
        case UnreadableBackoff(text):
            return unreadable_text(text)
        case NoBackoff():
            return ""
