"""How many rejections an upstream bears, as an answer declares it; a closed union."""

from __future__ import annotations

from dataclasses import dataclass

from ..limits.unreadable_value import kept_of, unreadable_text


@dataclass(frozen=True, slots=True)
class DeclaredRejections:
    """The upstream ends if it has to reject more than `per_s` requests within a second."""

    per_s: int


@dataclass(frozen=True, slots=True)
class UndeclaredRejections:
    """The answer has no such header."""


@dataclass(frozen=True, slots=True)
class UnreadableRejections:
    """The header is no whole number; a number declared earlier may still hold."""

    text: str


RejectionSignal = DeclaredRejections | UndeclaredRejections | UnreadableRejections


def read_rejections(text: str | None) -> RejectionSignal:
    """Parse the value of the header: a whole number of at least 0; None without the header."""
    if text is None:
        return UndeclaredRejections()
    digits = text.strip()
    if not digits.isascii() or not digits.isdigit():
        return UnreadableRejections(kept_of(text))
    return DeclaredRejections(int(digits))


def rejections_text(signal: RejectionSignal) -> str:
    """Format the signal for logs; empty if the answer declared nothing."""
    match signal:
        case DeclaredRejections(per_s):
            return f"{per_s}"
        case UnreadableRejections(text):
            return unreadable_text(text)
        case UndeclaredRejections():
            return ""
