"""Cutting a stream of server-sent events into whole events."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

_END = b"\n\n"
_ID = b"id:"
MAX_EVENT_BYTES = 1024 * 1024
"""A thousand times a usual event; bounds what a broken upstream can make us hold."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """The bytes of one event, and its number; None when it has none."""

    data: bytes
    number: int | None


class EventSplitter:
    """Yields events once they are whole.

    An upstream may break off inside an event. What was passed on can't be taken back, so half an
    event followed by the same one from a resumed run would spoil the client's stream.
    """

    def __init__(self) -> None:
        self._rest = b""

    @property
    def is_clean(self) -> bool:
        """Whether the bytes so far end with a whole event."""
        return not self._rest

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Take bytes and yield the events that they complete."""
        *whole, self._rest = (self._rest + data).split(_END)
        for text in whole:
            yield StreamEvent(text + _END, _number(text))
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError(f"an event has more than {MAX_EVENT_BYTES} bytes")


def _number(text: bytes) -> int | None:
    for line in text.split(b"\n"):
        if line.startswith(_ID):
            digits = line[len(_ID) :].strip()
            return int(digits) if digits.isdigit() else None
    return None
