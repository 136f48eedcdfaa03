"""The events of a streamed answer; each says which request and which software wrote it."""

from __future__ import annotations

import re
from collections.abc import Iterator, Sequence
from dataclasses import dataclass


def event_text(number: int, request_id: str, build: str = "") -> bytes:
    """Return event `number`, from 1, as an engine writes it for a request."""
    written_by = f"@{build}" if build else ""
    return f"id: {number}\ndata: {number}.{request_id}{written_by}\n\n".encode()


_EVENT = re.compile(rb"id: (\d+)\ndata: \d+\.(\w+)(?:@([^\n]*))?\n\n")


@dataclass(frozen=True, slots=True)
class WrittenEvent:
    """One event of a streamed answer.

    Attributes
    ----------
    number : int
        Position in the stream, from 1.
    request_id : str
        Attempt whose run wrote it.
    build : str
        Software version of the engine that wrote it; empty if that names none.
    """

    number: int
    request_id: str
    build: str = ""

    def encode(self) -> bytes:
        """Return the event as it is sent."""
        return event_text(self.number, self.request_id, self.build)


def read_events(data: bytes) -> Iterator[WrittenEvent]:
    """Yield the complete events at the beginning of `data`."""
    position = 0
    while match := _EVENT.match(data, position):
        number, request_id, build = match.groups()
        yield WrittenEvent(int(number), request_id.decode(), (build or b"").decode())
        position = match.end()


def is_in_order(events: Sequence[WrittenEvent], after: int) -> bool:
    """Whether events follow number `after` and one another without a hole or a repeat."""
    return [one.number for one in events] == list(range(after + 1, after + 1 + len(events)))


def begins_stream(body: bytes, request_id: str) -> bool:
    """Whether a body is the beginning of one stream: of this request, in order, of one build."""
    events = list(read_events(body))
    rest = body[len(b"".join(one.encode() for one in events)) :]
    next_event = WrittenEvent(len(events) + 1, request_id).encode().rstrip()
    return (
        all(one.request_id == request_id for one in events)
        and len({one.build for one in events}) <= 1
        and is_in_order(events, 0)
        and (next_event.startswith(rest) or rest.startswith(next_event))
    )


def is_whole_stream(body: bytes, request_id: str, length: int) -> bool:
    """Whether a body is exactly one whole stream of `length` events."""
    # Most engines name no build. Reading each event would take the processor that they run on.
    if body == b"".join(event_text(at + 1, request_id) for at in range(length)):
        return True
    events = list(read_events(body))
    written = b"".join(one.encode() for one in events)
    return len(events) == length and written == body and begins_stream(body, request_id)
