"""Checks of an engine's answer before a caller gets it."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator

from .answer_event import AnswerEvent
from .errors import EngineBroken

DONE = b"[DONE]"


class AnswerValidator:
    """Accepts the events of one attempt's own answer, each once and in order.

    It keeps its state over resumed connections, so that the events of all of them together form
    one answer.

    Attributes
    ----------
    last_number : int
        Number of the last accepted event; 0 before the first, or when events have no numbers.
    whole : bool
        Whether the last event of the answer was accepted.
    dropped : int
        Repeated events that were dropped.
    """

    def __init__(self, attempt_id: str, model: str) -> None:
        self.last_number = 0
        self.whole = False
        self.dropped = 0
        self._attempt_id = attempt_id
        self._attempt_id_bytes = attempt_id.encode()
        self._model = model
        self._model_checked = False

    def accept(
        self, events: Iterable[AnswerEvent]
    ) -> tuple[list[AnswerEvent], EngineBroken | None]:
        """Return the events to pass on to the caller, and the fault that follows them, if any."""
        accepted: list[AnswerEvent] = []
        try:
            for event in self._in_order(self._own_events(events)):
                accepted.append(event)
        except EngineBroken as exc:
            return accepted, exc
        return accepted, None

    def check_end(self) -> EngineBroken | None:
        """Return the fault of an answer whose transfer ended here; None when it is complete."""
        # The transfer can end regularly in the middle of an answer, when the engine or a proxy
        # before it gave up. Only the end mark makes an answer complete.
        if self.whole:
            return None
        return EngineBroken("short_answer", "the answer ended before its end mark")

    def _own_events(self, events: Iterable[AnswerEvent]) -> Iterator[AnswerEvent]:
        # A proxy or engine that mixes up connections delivers another caller's answer, complete
        # and well formed. Only the attempt id, which the gateway chose, tells the two apart.
        for event in events:
            if event.data != DONE:
                if self._attempt_id_bytes not in event.data:
                    raise EngineBroken("wrong_answer", "the engine sent another request's answer")
                if not self._model_checked:
                    self._check_id_and_model(event.data)
                    self._model_checked = True
            elif not self._model_checked:
                raise EngineBroken("empty_answer", "the engine ended an answer that never began")
            yield event

    def _check_id_and_model(self, data: bytes) -> None:
        try:
            found = json.loads(data)
            answered_id, answered_model = str(found["id"]), found["model"]
        except (ValueError, KeyError, TypeError) as exc:
            raise EngineBroken("bad_answer", "the engine's answer is not the API's JSON") from exc
        if not answered_id.endswith(self._attempt_id):
            raise EngineBroken("wrong_answer", f"answer {answered_id} is not to this request")
        if answered_model != self._model:
            raise EngineBroken("wrong_model", f"{answered_model!r} answered, not {self._model!r}")

    def _in_order(self, events: Iterable[AnswerEvent]) -> Iterator[AnswerEvent]:
        for event in events:
            if event.number and event.number <= self.last_number:
                self.dropped += 1
                continue
            if event.number and event.number != self.last_number + 1:
                raise EngineBroken("event_missing", f"event {self.last_number + 1} is missing")
            self.last_number = event.number or self.last_number
            self.whole = event.last
            yield event
            if event.last:
                return
