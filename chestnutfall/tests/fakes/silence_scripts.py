"""What upstreams write that fall silent, for tests."""

from __future__ import annotations

from ...routes import RouteKind
from .forwarder_case import event
from .silence_case import SILENT_MS
from .timed_upstreams import HANG, Head, Step

EVENTS = b"".join(map(event, (1, 2, 3)))
"""The whole stream of the tests."""
SOUND = (50, event(1), 20, event(2), 20, event(3))
"""An upstream that is never silent for long."""
HUNG = (HANG,)
SILENCES_MS = (SILENT_MS, 1_000, 1_500)
RESUMABLE = RouteKind.RESUMABLE_STREAM
PROMISES_NOT_RUN = (408, 421, 429, 503)


def streams(silent_ms: int) -> dict[str, tuple[Step, ...]]:
    """The whole stream with a silence, by its place in the stream."""
    return {
        "before the head": (silent_ms, *SOUND),
        "before the first event": (Head(), silent_ms, *SOUND),
        "between events": (50, event(1), 20, event(2), silent_ms, event(3)),
        "inside an event": (50, event(1), event(2)[:7], silent_ms, event(2)[7:], event(3)),
    }


def wholes(silent_ms: int) -> dict[str, tuple[Step, ...]]:
    """A whole answer with a silence, by its place in the answer."""
    return {
        "before the head": (silent_ms, b"who", b"le"),
        "before the body": (Head(), silent_ms, b"whole"),
        "inside the body": (50, b"who", silent_ms, b"le"),
    }
