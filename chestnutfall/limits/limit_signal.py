"""The limit that an upstream's answer declares, as a closed union."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DeclaredLimit:
    """The upstream accepts `per_s` requests per second from all gateways together."""

    per_s: float


@dataclass(frozen=True, slots=True)
class UndeclaredLimit:
    """The answer has no limit header."""


@dataclass(frozen=True, slots=True)
class UnreadableLimit:
    """The limit header is no valid limit; a limit declared earlier may still hold."""

    text: str


LimitSignal = DeclaredLimit | UndeclaredLimit | UnreadableLimit
MAX_UNREADABLE_CHARS = 40
"""Characters kept of an unreadable header value, since it is logged."""


def read_limit(text: str | None) -> LimitSignal:
    """Parse the value of a limit header.

    Parameters
    ----------
    text : str or None
        Requests per second, as a finite decimal number of at least 0; None without the header.
    """
    if text is None:
        return UndeclaredLimit()
    try:
        per_s = float(text)
    except ValueError:
        return UnreadableLimit(text[:MAX_UNREADABLE_CHARS])
    if not math.isfinite(per_s) or per_s < 0:
        return UnreadableLimit(text[:MAX_UNREADABLE_CHARS])
    return DeclaredLimit(per_s)


def limit_text(signal: LimitSignal) -> str:
    """Format a limit signal for logs; empty if the answer declared no limit."""
    match signal:
        case DeclaredLimit(per_s):
            return f"{per_s:g}"
        case UnreadableLimit(text):
            return f"?{text!r}"
        case UndeclaredLimit():
            return ""
