"""Types of the fields of the OpenAI API that every engine supports.

Fields that are not listed are passed on unchecked, since engines differ in what else they accept.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from ..requests import Refusal

CHAT_SUFFIX = "/chat/completions"


@dataclass(frozen=True, slots=True)
class _FieldRule:
    """The type check of one field.

    Attributes
    ----------
    name : str
        Name of the field.
    allows : callable
        Whether a value has the right type.
    allowed : str
        What is allowed, for the message to the caller.
    """

    name: str
    allows: Callable[[Any], bool]
    allowed: str


def check_field_types(path: str, fields: Mapping[str, Any]) -> None:
    """Check the types of the JSON fields of a request to the API path `path`.

    Raises
    ------
    Refusal
        400 when a field has a wrong type, or a chat request has no `messages`; the message names
        the field and what is allowed.
    """
    is_chat = path.endswith(CHAT_SUFFIX)
    # The API allows a completion without a prompt: the engine begins a new text.
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


def _is_message_list(value: Any) -> bool:
    return isinstance(value, list) and bool(value) and all(map(_is_message, value))


def _is_prompt(value: Any) -> bool:
    return isinstance(value, str | list)


def _is_positive_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value > 0


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _is_stop(value: Any) -> bool:
    texts = value if isinstance(value, list) else [value]
    return all(isinstance(text, str) for text in texts)


_MESSAGES = _FieldRule("messages", _is_message_list, "a list of messages, each with a role")
_PROMPT = _FieldRule("prompt", _is_prompt, "a string or a list")
_OPTIONAL = (
    _FieldRule("max_tokens", _is_positive_integer, "a whole number over 0"),
    _FieldRule("n", _is_positive_integer, "a whole number over 0"),
    _FieldRule("temperature", _is_number, "a number"),
    _FieldRule("top_p", _is_number, "a number"),
    _FieldRule("stop", _is_stop, "a string or a list of strings"),
)
