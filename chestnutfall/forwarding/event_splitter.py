"""Splitting of a server-sent event stream into complete events."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from .upstream_api import AnswerLost

_END = b"\n\n"
_ID = b"id:"
_ID_LINE = b"\n" + _ID
_FIELDS = (_ID, b"data:")
_FIELD_LINES = tuple(b"\n" + field for field in _FIELDS)
MAX_EVENT_BYTES = 256 * 1024
"""Limit on the bytes held for one event, against a faulty upstream; some hundred times the size of
a usual one."""


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

    Blocks that bring the client nothing, such as comments and empty ones, are kept back and become
    a part of the event that follows: an upstream may write them without end.
    """

    def __init__(self) -> None:
        self._held = bytearray()
        self._searched = 0
        self._event_from = 0

    def __len__(self) -> int:
        """Return the number of bytes that are held for the next event."""
        return len(self._held)

    @property
    def at_event_boundary(self) -> bool:
        """Whether the bytes so far end with a complete event or block."""
        return self._event_from == len(self._held)

    def take_rest(self) -> bytes:
        """Return the blocks behind the last event, at the end of the answer."""
        rest = bytes(self._held)
        self._held.clear()
        self._searched = self._event_from = 0
        return rest

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Add received bytes and yield the events that they complete.

        Raises
        ------
        AnswerLost
            When what is held for one event exceeds `MAX_EVENT_BYTES`.
        """
        self._held += data
        # What was searched before is not searched again: an event that grows by a byte at a time
        # would cost the square of its length.
        while (at := self._held.find(_END, self._searched)) >= 0:
            end = at + len(_END)
            block = bytes(self._held[self._event_from : end])
            self._searched = self._event_from = end
            if _is_event(block):
                yield StreamEvent(self._take(end), _number(block))
        self._searched = max(len(self._held) - len(_END) + 1, self._event_from)
        if len(self._held) > MAX_EVENT_BYTES:
            raise AnswerLost("event_too_large")

    def _take(self, end: int) -> bytes:
        data = bytes(self._held[:end])
        del self._held[:end]
        self._searched = self._event_from = 0
        return data


def _is_event(block: bytes) -> bool:
    """Whether a block has a field that clients of a stream read."""
    return block.startswith(_FIELDS) or any(line in block for line in _FIELD_LINES)


def _number(text: bytes) -> int | None:
    """Return the value of the first line that begins with `id:`, if it is numeric."""
    if text.startswith(_ID):
        value = text[len(_ID) :]
    else:
        _, _, value = text.partition(_ID_LINE)
    digits = value.partition(b"\n")[0].strip()
    return int(digits) if digits.isdigit() else None
