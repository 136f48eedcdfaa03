"""The Keep-Alive header of an answer."""

from __future__ import annotations

_TIMEOUT = "timeout"


def told_idle_ms(header: str | None) -> int | None:
    """Return the idle time that a Keep-Alive header states, in ms; None if it states none.

    Unreadable and negative times count as none.
    """
    for part in (header or "").split(","):
        name, _, value = part.partition("=")
        if name.strip().lower() == _TIMEOUT:
            text = value.strip().strip('"')
            # Longer numbers than a day has seconds are no time that an upstream means.
            return int(text) * 1_000 if text.isdecimal() and len(text) <= 5 else None
    return None
