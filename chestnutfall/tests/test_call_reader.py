"""Decoding of the headers of a client's request."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

from multidict import CIMultiDict

from ..coordination.messages import FLEET_CODEC
from ..forwarding.call import Call
from ..platform import header_names as names
from ..platform.call_reader import DEFAULT_DEADLINE_MS, MAX_EVENT_ID, MAX_TOKENS, read_call
from ..resumption.messages import AskOrigin

LARGE = 2**64
MALFORMED = (
    (names.MODEL, "base/\udcff"),
    (names.TOKEN_COUNTS, f"{LARGE},1"),
    (names.TOKEN_COUNTS, f"1,{LARGE}"),
    (names.TOKEN_COUNTS, "-1,1"),
    (names.PROMPT_PARTS, f"aa:{LARGE}"),
    (names.PROMPT_PARTS, "aa:-1"),
    (names.LAST_EVENT, f"{LARGE}"),
    (names.DEADLINE, "soon"),
)


def _read(*headers: tuple[str, str]) -> Call:
    given = CIMultiDict([(names.REQUEST_ID, "id-0"), *headers])
    request = SimpleNamespace(raw_path="/a/x", method="POST", headers=given, raw_headers=())
    return read_call(request, b"", 0)  # type: ignore[arg-type]


class CallReaderTest(unittest.TestCase):
    # Guards against a header of one client that ends the gateway's stream to the leader, and with
    # it the questions of all others, since no message can hold its value.
    def test_values_that_no_message_holds_are_malformed(self) -> None:
        for header, value in MALFORMED:
            with self.subTest(header=header, value=repr(value)):
                with self.assertRaises(ValueError) as raised:
                    _read((header, value))
                self.assertTrue(str(raised.exception).isascii())

    def test_the_largest_values_can_be_sent(self) -> None:
        call = _read(
            (names.TOKEN_COUNTS, f"{MAX_TOKENS},{MAX_TOKENS}"),
            (names.LAST_EVENT, f"{MAX_EVENT_ID}"),
            (names.PROMPT_PARTS, f"aa:{MAX_TOKENS},\udcff:1"),
            (names.RESUMES, "\udcff"),
        )
        self.assertEqual((call.prompt_tokens, call.output_tokens), (MAX_TOKENS, MAX_TOKENS))
        self.assertTrue(FLEET_CODEC.encode(AskOrigin(call.resume_after or 0, call.resumes, "")))
        self.assertTrue(all(one.part_id.isascii() for one in call.parts))

    # Guards against times that no clock or message holds.
    def test_a_deadline_beyond_all_requests_is_the_longest_one(self) -> None:
        self.assertEqual(_read((names.DEADLINE, "9" * 40)).deadline_ms, DEFAULT_DEADLINE_MS)
        self.assertEqual(_read((names.DEADLINE, "-" + "9" * 40)).deadline_ms, 0)
