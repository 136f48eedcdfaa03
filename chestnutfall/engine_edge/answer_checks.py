"""Stages that an engine's answer passes before a caller sees it."""

from __future__ import annotations

import json
from collections.abc import AsyncGenerator, Callable

from .answer_event import AnswerEvent
from .errors import EngineBroken


async def own_answer(
    events: AsyncGenerator[AnswerEvent, None], attempt_id: str, model: str
) -> AsyncGenerator[AnswerEvent, None]:
    """Pass on events that carry this attempt's id and the exact model.

    Raises
    ------
    EngineBroken
        When an event belongs to another request, or another model answered.
    """
    # A proxy or engine that mixes up connections delivers another caller's answer, whole and
    # well formed. The id chosen by us for this attempt alone is the only thing that tells.
    id_mark = attempt_id.encode()
    model_checked = False
    async for event in events:
        if not (event.last and event.data == b"[DONE]"):
            if id_mark not in event.data:
                raise EngineBroken("wrong_answer", "the engine sent another request's answer")
            if not model_checked:
                _check_first(event.data, attempt_id, model)
                model_checked = True
        elif not model_checked:
            raise EngineBroken("empty_answer", "the engine ended an answer that never began")
        yield event


def _check_first(data: bytes, attempt_id: str, model: str) -> None:
    try:
        found = json.loads(data)
        answered_id, answered_model = str(found["id"]), found["model"]
    except (ValueError, KeyError, TypeError) as exc:
        raise EngineBroken("bad_answer", "the engine's answer is not the API's JSON") from exc
    if not answered_id.endswith(attempt_id):
        raise EngineBroken("wrong_answer", f"answer {answered_id} is not to {attempt_id}")
    if answered_model != model:
        raise EngineBroken("wrong_model", f"{answered_model!r} answered instead of {model!r}")


async def in_order(
    events: AsyncGenerator[AnswerEvent, None], after: int, on_drop: Callable[[], None]
) -> AsyncGenerator[AnswerEvent, None]:
    """Pass on each numbered event once, in order, behind number `after`.

    Raises
    ------
    EngineBroken
        When a number is missing, or the answer ends without its last event.
    """
    async for event in events:
        if event.number:
            if event.number <= after:
                on_drop()
                continue
            if event.number != after + 1:
                raise EngineBroken("event_missing", f"event {after + 1} is missing")
            after = event.number
        yield event
        if event.last:
            return
    raise EngineBroken("short_answer", "the answer ended before its end mark")
