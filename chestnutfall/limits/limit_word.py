"""The closed union of what an answer says of its upstream's limit."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Named:
    """The upstream takes `per_s` requests a second from all gateways together."""

    per_s: float


@dataclass(frozen=True, slots=True)
class Unnamed:
    """The answer names no limit."""


@dataclass(frozen=True, slots=True)
class Unreadable:
    """The answer names something that is no limit; what was named before may still hold."""

    text: str


LimitWord = Named | Unnamed | Unreadable
MOST_TEXT = 40
"""Characters of something unreadable that are kept; it goes into logs."""


def read_limit(text: str | None) -> LimitWord:
    """Read a limit as it stands in a header; None where there is no such header."""
    if text is None:
        return Unnamed()
    try:
        per_s = float(text)
    except ValueError:
        return Unreadable(text[:MOST_TEXT])
    if not math.isfinite(per_s) or per_s < 0:
        return Unreadable(text[:MOST_TEXT])
    return Named(per_s)


def limit_text(word: LimitWord) -> str:
    """The word as it stands in logs; empty for none."""
    match word:
        case Named(per_s):
            return f"{per_s:g}"
        case Unreadable(text):
            return f"?{text!r}"
        case Unnamed():
            return ""
