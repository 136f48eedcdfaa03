"""Types of the fields of the OpenAI API that every engine reads.

Fields that are not listed are passed on as they are; engines differ in what else they take.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from ..requests import Refusal

CHAT_SUFFIX = "/chat/completions"


@dataclass(frozen=True, slots=True)
class _Rule:
    """A check of one field, and the words for what it allows."""

    name: str
    allows: Callable[[Any], bool]
    allowed: str


def check_field_types(path: str, fields: Mapping[str, Any]) -> None:
    """Check the fields of a request to `path`.

    Raises
    ------
    Refusal
        When a field has a wrong type; names it and what is allowed.
    """
    is_chat = path.endswith(CHAT_SUFFIX)
    # A completion without a prompt is a request of the API: the engine begins a new text.
    if is_chat and fields.get(_MESSAGES.name) is None:
        raise Refusal(400, "bad_request", f"`messages` is missing; it must be {_MESSAGES.allowed}")
    for rule in (_MESSAGES if is_chat else _PROMPT, *_OPTIONAL):
        value = fields.get(rule.name)
        if value is not None and not rule.allows(value):
            message = f"`{rule.name}` must be {rule.allowed}; found {type(value).__name__}"
            raise Refusal(400, "bad_request", message)


def _is_message(value: Any) -> bool:
    if not isinstance(value, dict) or not isinstance(value.get("role"), str):
        return False
    return isinstance(value.get("content"), str | list | None)


def _are_messages(value: Any) -> bool:
    return isinstance(value, list) and bool(value) and all(map(_is_message, value))


def _is_prompt(value: Any) -> bool:
    return isinstance(value, str | list)


def _is_whole(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value > 0


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _is_stop(value: Any) -> bool:
    texts = value if isinstance(value, list) else [value]
    return all(isinstance(text, str) for text in texts)


_MESSAGES = _Rule("messages", _are_messages, "a list of messages, each with a role")
_PROMPT = _Rule("prompt", _is_prompt, "a string or a list")
_OPTIONAL = (
    _Rule("max_tokens", _is_whole, "a whole number over 0"),
    _Rule("n", _is_whole, "a whole number over 0"),
    _Rule("temperature", _is_number, "a number"),
    _Rule("top_p", _is_number, "a number"),
    _Rule("stop", _is_stop, "a string or a list of strings"),
)
