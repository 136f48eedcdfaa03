"""Splitting of a server-sent event stream into complete events."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from .upstream_api import AnswerLost

_END = b"\n\n"
_ID = b"id:"
_ID_LINE = b"\n" + _ID
MAX_EVENT_BYTES = 1024 * 1024
"""Limit on the bytes held for one event, against a faulty upstream; a thousand times the size of a
usual event."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One server-sent event.

    Attributes
    ----------
    data : bytes
        The event's bytes, with the blank line that ends it.
    number : int or None
        Value of its `id` field; None if it has no numeric id.
    """

    data: bytes
    number: int | None


class EventSplitter:
    """Splits received bytes into complete events.

    An upstream may break off inside an event, and bytes sent to the client can't be withdrawn. Part
    of an event followed by the same event from a resumed run would corrupt the client's stream.
    """

    def __init__(self) -> None:
        self._rest = b""

    @property
    def at_event_boundary(self) -> bool:
        """Whether the bytes so far end with a complete event."""
        return not self._rest

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Add received bytes and yield the events that they complete.

        Raises
        ------
        AnswerLost
            When an incomplete event exceeds `MAX_EVENT_BYTES`.
        """
        *whole, self._rest = (self._rest + data).split(_END)
        for text in whole:
            yield StreamEvent(text + _END, _number(text))
        if len(self._rest) > MAX_EVENT_BYTES:
            raise AnswerLost("event_too_large")


def _number(text: bytes) -> int | None:
    """Return the value of the first line that begins with `id:`, if it is numeric."""
    if text.startswith(_ID):
        value = text[len(_ID) :]
    else:
        _, _, value = text.partition(_ID_LINE)
    digits = value.partition(b"\n")[0].strip()
    return int(digits) if digits.isdigit() else None
