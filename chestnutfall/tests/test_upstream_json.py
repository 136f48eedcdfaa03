"""Messages of upstreams with missing or invalid fields, or that are not valid JSON.

An invalid message must be rejected. Otherwise callers are refused although all engines work, or are
sent to an address that is not an engine.
"""

from __future__ import annotations

import json
import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from ..control.upstream_record import UpstreamRecord
from ..coordination.relay_messages import Announce, Depart
from ..placement import AdapterName, EngineReport
from ..platform.upstream_json import (
    MAX_NAME_CHARACTERS,
    UnreadableUpstream,
    read_announcement,
    read_departure,
    read_report,
)

MESSAGE: dict[str, Any] = {
    "service": "drafts",
    "addr": "127.0.0.1:1",
    "zone": "dc",
    "state": "ready",
    "seq": 4,
    "models": [{"name": "base", "version": 2, "adapters": ["a1@3"]}],
}
_SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5)
_ANY_JSON = st.recursive(
    _SCALARS, lambda inner: st.lists(inner) | st.dictionaries(st.text(max_size=5), inner)
)


def _read(message: Any, name: str = "i-1") -> Announce:
    return read_announcement(name, json.dumps(message).encode())


class AnnouncementTest(unittest.TestCase):
    def test_two_starts_under_one_name_are_two_incarnations(self) -> None:
        first = _read(MESSAGE | {"born": 1_000}).record
        second = _read(MESSAGE | {"born": 2_000}).record
        self.assertNotEqual(first.instance, second.instance)
        self.assertEqual((first.announced_name, second.announced_name), ("i-1", "i-1"))
        self.assertEqual((first.started_ms, second.started_ms), (1_000, 2_000))

    def test_without_a_start_time_the_name_is_the_incarnation(self) -> None:
        record = UpstreamRecord("i-1", "drafts", "127.0.0.1:1", "dc", False, "i-1", 0)
        holds = EngineReport({"base": 2}, {AdapterName("base", "a1"): 3}, {}, 0)
        self.assertEqual(_read(MESSAGE), Announce(record, 4, holds))

    def test_the_version_of_the_software_is_read_and_may_be_missing(self) -> None:
        self.assertEqual(_read(MESSAGE | {"version": "v1.2"}).record.build, "v1.2")
        self.assertEqual(_read(MESSAGE).record.build, "")

    def test_missing_or_invalid_fields_are_rejected(self) -> None:
        for field in ("service", "addr", "zone", "state", "seq"):
            with self.subTest(missing=field), self.assertRaises(UnreadableUpstream):
                _read({key: value for key, value in MESSAGE.items() if key != field})
        invalid = (
            {"state": "resting"},
            {"seq": "4"},
            {"seq": -1},
            {"seq": 2**70},
            {"born": 1.5},
            {"born": "1000"},
            {"born": None},
            {"version": 1},
            {"version": "x" * (MAX_NAME_CHARACTERS + 1)},
            {"addr": "nowhere"},
            {"addr": ["127.0.0.1:1"]},
            {"service": "x" * (MAX_NAME_CHARACTERS + 1)},
            {"models": "base"},
            {"models": [{"name": "base"}]},
            {"models": [{"name": "base", "version": 1, "adapters": ["a1@x"]}]},
        )
        for change in invalid:
            with self.subTest(change), self.assertRaises(UnreadableUpstream):
                _read(MESSAGE | change)

    def test_an_empty_or_overlong_name_is_rejected(self) -> None:
        for name in ("", "i" * (MAX_NAME_CHARACTERS + 1)):
            with self.subTest(len(name)), self.assertRaises(UnreadableUpstream):
                _read(MESSAGE, name)

    @given(st.binary(max_size=200))
    def test_any_bytes_are_decoded_or_rejected(self, body: bytes) -> None:
        for read in (lambda: read_announcement("i", body), lambda: read_report(body)):
            try:
                read()
            except UnreadableUpstream:
                pass

    def test_deep_nesting_is_rejected(self) -> None:
        with self.assertRaises(UnreadableUpstream):
            read_announcement("i", b'{"service":' + b"[" * 100_000)

    @given(st.sampled_from([*MESSAGE, "born"]), _ANY_JSON)
    def test_a_field_of_any_type_is_decoded_or_rejected(self, field: str, value: Any) -> None:
        try:
            msg = _read(MESSAGE | {field: value})
        except UnreadableUpstream:
            return
        self.assertIsInstance(msg.record.service, str)
        self.assertIsInstance(msg.record.started_ms, int)
        self.assertIsInstance(msg.number, int)


class DepartureTest(unittest.TestCase):
    def test_with_and_without_a_start_time(self) -> None:
        self.assertEqual(read_departure("i-1", b""), Depart("i-1", 0))
        self.assertEqual(read_departure("i-1", b'{"born": 7}'), Depart("i-1", 7))
        with self.assertRaises(UnreadableUpstream):
            read_departure("i-1", b'{"born": "7"}')


class ReportTest(unittest.TestCase):
    def test_models_adapters_and_running_loads(self) -> None:
        message = {
            "models": [{"name": "base", "version": 2, "adapters": ["a1@3"]}],
            "coming": ["base/a2@4"],
            "seq": 7,
            "born": 9,
        }
        report = read_report(json.dumps(message).encode())
        self.assertEqual(report.models, {"base": 2})
        self.assertEqual(report.adapters, {AdapterName("base", "a1"): 3})
        self.assertEqual(report.coming, {AdapterName("base", "a2"): 4})
        self.assertEqual((report.orders_taken, report.started_ms), (7, 9))
