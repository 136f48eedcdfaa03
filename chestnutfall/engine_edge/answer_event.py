"""One piece of an engine's answer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AnswerEvent:
    """One server-sent event of a streamed answer, or the whole body of an answer in one piece.

    Attributes
    ----------
    number : int
        Position in the answer, from 1; 0 when the engine does not number its events.
    data : bytes
        JSON text; for a stream the payload of one event.
    last : bool
        Whether the answer is complete with this event.
    """

    number: int
    data: bytes
    last: bool = False
