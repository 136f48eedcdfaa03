"""The parts of a prompt, as far as the system tells them apart."""

from __future__ import annotations

from collections.abc import Iterable

from ..requests import short_id
from ..requests.part_keys import MAX_KEYS
from .place_request import PromptPart


def told_parts(parts: Iterable[PromptPart]) -> tuple[PromptPart, ...]:
    """Return few parts with short ids, which stand for all parts of a prompt.

    The head of a request has room for thousands of parts, each of which takes twenty times as much
    memory here as there, and at the leader as well. If there are too many, those before the last
    one, which is the request's own, become a single part. Two prompts share it only if they share
    all that it stands for.
    """
    told = tuple(PromptPart(short_id(one.part_id), one.tokens) for one in parts)
    if len(told) <= MAX_KEYS:
        return told
    merged = told[MAX_KEYS - 2 : -1]
    name = short_id(",".join(one.part_id for one in merged))
    middle = PromptPart(name, sum(one.tokens for one in merged))
    return (*told[: MAX_KEYS - 2], middle, told[-1])
