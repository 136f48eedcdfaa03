"""One piece of an engine's answer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AnswerEvent:
    """A piece of an answer.

    Attributes
    ----------
    number : int
        Position in the answer, from 1, or 0 when the engine numbers nothing.
    data : bytes
        JSON text; for a stream the payload of one event.
    last : bool
        Whether the answer is whole with this event.
    """

    number: int
    data: bytes
    last: bool = False
