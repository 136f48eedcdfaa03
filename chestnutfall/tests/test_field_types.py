"""Guards against malformed fields that reach an engine.

Without the check, a chat request whose `messages` is a string is answered from an empty prompt. A
wrong type must be refused, with the field's name, before the request is placed.
"""

from __future__ import annotations

import unittest
from typing import Any

from ..caller_edge.field_types import check_field_types
from ..requests import Refusal

CHAT = "/v1/chat/completions"
COMPLETION = "/v1/completions"
MESSAGE = {"role": "user", "content": "roof"}


class FieldTypesTest(unittest.TestCase):
    def test_right_types_pass(self) -> None:
        parts = [{"role": "user", "content": [{"type": "text", "text": "roof"}]}]
        check_field_types(CHAT, {"messages": [MESSAGE], "temperature": 0, "stop": ["x"]})
        check_field_types(CHAT, {"messages": parts, "max_tokens": None})
        check_field_types(COMPLETION, {"prompt": "roof", "max_tokens": 4, "stop": "x"})
        check_field_types(COMPLETION, {"prompt": [1, 2], "custom": object()})

    def test_wrong_types_are_refused_by_name(self) -> None:
        wrong: tuple[tuple[str, str, Any], ...] = (
            (CHAT, "messages", "roof"),
            (CHAT, "messages", []),
            (CHAT, "messages", ["roof"]),
            (CHAT, "messages", [{"content": "roof"}]),
            (COMPLETION, "prompt", 3),
            (COMPLETION, "max_tokens", "4"),
            (COMPLETION, "max_tokens", True),
            (COMPLETION, "max_tokens", 0),
            (COMPLETION, "temperature", "hot"),
            (COMPLETION, "stop", 5),
        )
        for path, name, value in wrong:
            with self.subTest(name=name, value=value), self.assertRaises(Refusal) as raised:
                fields = {"messages": [MESSAGE], "prompt": "roof"} | {name: value}
                check_field_types(path, fields)
            self.assertEqual(raised.exception.status, 400)
            self.assertIn(f"`{name}`", raised.exception.message)

    def test_a_chat_needs_messages_and_a_completion_may_begin_a_new_text(self) -> None:
        check_field_types(COMPLETION, {})
        with self.assertRaises(Refusal):
            check_field_types(CHAT, {})
