"""The limit that an upstream's answer declares, as a closed union."""

from __future__ import annotations

import math
from dataclasses import dataclass

from .unreadable_value import kept_of, unreadable_text


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
        return UnreadableLimit(kept_of(text))
    if not math.isfinite(per_s) or per_s < 0:
        return UnreadableLimit(kept_of(text))
    return DeclaredLimit(per_s)


def limit_text(signal: LimitSignal) -> str:
    """Format a limit signal for logs; empty if the answer declared no limit."""
    match signal:
        case DeclaredLimit(per_s):
            return f"{per_s:g}"
        case UnreadableLimit(text):
            return unreadable_text(text)
        case UndeclaredLimit():
            return ""
