"""What is kept and logged of a header value that can't be read."""

from __future__ import annotations

MAX_UNREADABLE_CHARS = 40
"""Characters kept of an unreadable header value, since it is logged."""


def kept_of(value: str) -> str:
    """Return the part of an unreadable value that is kept."""
    return value[:MAX_UNREADABLE_CHARS]


def unreadable_text(kept: str) -> str:
    """Format what was kept of an unreadable value for logs."""
    return f"?{kept!r}"
