"""Calls by which operators name new versions."""

from __future__ import annotations

import json
import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from ..control.commands import COMMAND_CODEC, NameVersion, encode_command
from ..coordination.relay_messages import StoreVersion
from ..platform.version_json import UnreadableVersion, read_version

CALL = {"model": "base", "adapter": "a1", "version": 4}
MALFORMED: tuple[tuple[str, Any], ...] = (
    ("model", 5),
    ("model", None),
    ("model", ""),
    ("model", "m" * 300),
    ("adapter", 5),
    ("adapter", ["a1"]),
    ("version", "4"),
    ("version", None),
    ("version", 2**70),
    ("version", -1),
    ("version", 4.5),
)
values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner, max_size=2) | st.dictionaries(st.text(), inner, max_size=2),
    max_leaves=3,
)


def _call(**changed: Any) -> bytes:
    return json.dumps(CALL | changed).encode()


class VersionJsonTest(unittest.TestCase):
    def test_no_adapter_is_named_in_three_ways(self) -> None:
        whole = StoreVersion("base", "", 4)
        without = json.dumps({"model": "base", "version": 4}).encode()
        for body in (_call(adapter=None), _call(adapter=""), without):
            self.assertEqual(read_version(body), whole)
        self.assertEqual(read_version(_call()), StoreVersion("base", "a1", 4))

    def test_a_malformed_call_is_refused_with_its_place(self) -> None:
        for name, value in MALFORMED:
            with self.subTest(name=name, value=value):
                with self.assertRaisesRegex(UnreadableVersion, rf"\$\.{name}|out of range"):
                    read_version(_call(**{name: value}))
        for body in (b"", b"{", b"[]", b"\xff", b"[" * 100_000):
            with self.subTest(body=body[:8]), self.assertRaises(UnreadableVersion):
                read_version(body)

    # Guards against a call that is acknowledged and then can't be read by any replica.
    @given(st.sampled_from(sorted(CALL)), values)
    def test_whatever_is_read_can_be_proposed(self, name: str, value: Any) -> None:
        try:
            found = read_version(_call(**{name: value}))
        except UnreadableVersion:
            return
        command = NameVersion(found.model, found.adapter, found.version)
        self.assertEqual(COMMAND_CODEC.decode(encode_command(command)), command)
