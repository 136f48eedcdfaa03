"""Strict parsing of upstream signals, and the detection of unknown headers."""

from __future__ import annotations

import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from ..limits import DeclaredLimit, UndeclaredLimit
from ..limits.unreadable_value import MAX_UNREADABLE_CHARS
from ..signals import (
    NO_SIGNALS,
    AskedBackoff,
    NoBackoff,
    SignalHeaders,
    UnreadableBackoff,
    UnreadHeaders,
    UpstreamLoad,
    read_signals,
)
from ..signals.backoff_signal import MAX_BACKOFF_MS, read_backoff
from ..signals.unread_headers import MAX_NAME_CHARS, MAX_NAMES
from ..signals.upstream_load import MAX_SLOWDOWN, MIN_SLOWDOWN

NAMES = SignalHeaders("x-limit", "x-leaving", "x-load", "x-rejections")
DATE = "Thu, 03 Dec 2026 11:00:00 GMT"


class ReadBackoffTest(unittest.TestCase):
    def test_seconds_with_decimals_and_http_dates_are_read(self) -> None:
        cases = (
            ("3", 3_000),
            ("0", 0),
            ("0.25", 250),
            ("1.0001", 1_001),
            ("Thu, 03 Dec 2026 11:00:07 GMT", 7_000),
            ("Thu, 03 Dec 2026 10:59:00 GMT", 0),
        )
        for text, ms in cases:
            with self.subTest(text):
                self.assertEqual(read_backoff(503, text, DATE), AskedBackoff(ms))

    def test_429_asks_for_backoff_as_503_does_and_other_statuses_do_not(self) -> None:
        self.assertEqual(read_backoff(429, "1", None), AskedBackoff(1_000))
        for status in (200, 301, 421, 500):
            with self.subTest(status):
                self.assertEqual(read_backoff(status, "1", None), NoBackoff())
        self.assertEqual(read_backoff(503, None, DATE), NoBackoff())

    def test_what_is_no_time_is_unreadable(self) -> None:
        for text in ("", "soon", "-1", "nan", "inf", "1_0", "1,5", "1e999", "Thu, 32 Dec 2026"):
            with self.subTest(text):
                self.assertEqual(read_backoff(503, text, DATE), UnreadableBackoff(text))

    # Guards against reading an HTTP date by the gateway's own clock, which may be adjusted.
    def test_an_http_date_without_the_answer_s_own_date_is_unreadable(self) -> None:
        self.assertEqual(
            read_backoff(503, DATE, None), UnreadableBackoff(DATE[:MAX_UNREADABLE_CHARS])
        )

    # Guards against a mistaken unit that removes an upstream for good.
    def test_more_than_a_day_is_a_day(self) -> None:
        for text in ("86401", "1e12", "Fri, 31 Dec 9999 23:59:59 GMT"):
            with self.subTest(text):
                self.assertEqual(read_backoff(503, text, DATE), AskedBackoff(MAX_BACKOFF_MS))

    # Guards against a header that fails the call in whose answer it is.
    @given(st.text(max_size=60), st.one_of(st.none(), st.text(max_size=40)))
    def test_any_text_is_read(self, text: str, date: str | None) -> None:
        match read_backoff(503, text, date):
            case AskedBackoff(ms):
                self.assertTrue(0 <= ms <= MAX_BACKOFF_MS)
            case UnreadableBackoff(kept):
                self.assertLessEqual(len(kept), MAX_UNREADABLE_CHARS)
            case NoBackoff():
                self.fail("a header is there")


class ReadSignalsTest(unittest.TestCase):
    def test_all_signals_of_an_answer_are_read(self) -> None:
        headers = {"x-limit": "7.5", "Retry-After": "2", "x-leaving": "1", "x-load": "3,1,8"}
        found = read_signals(503, headers, NAMES)
        self.assertEqual(found.limit, DeclaredLimit(7.5))
        self.assertEqual(found.backoff, AskedBackoff(2_000))
        self.assertTrue(found.leaving)
        self.assertEqual(found.load, UpstreamLoad(3, 1, 8))

    def test_an_answer_without_signals(self) -> None:
        self.assertEqual(read_signals(200, {}, NAMES), NO_SIGNALS)

    def test_only_the_value_1_says_that_an_upstream_is_leaving(self) -> None:
        for text in ("0", "", "true", "11", "no"):
            with self.subTest(text):
                self.assertFalse(read_signals(200, {"x-leaving": text}, NAMES).leaving)

    # Guards against a malformed load that fails the call in whose answer it is.
    def test_a_malformed_load_is_none(self) -> None:
        for text in (
            "",
            "1,2",
            "1,2,",
            "a,b,c",
            "a,2,3,4",
            "-1,0,6",
            "1, 2, 3",
            "9" * 400 + ",1,1",
        ):
            with self.subTest(text[:10]):
                found = read_signals(200, {"x-load": text}, NAMES)
                self.assertEqual((found.load, found.limit), (None, UndeclaredLimit()))

    # Guards against an upstream whose whole load is ignored since it reports more than it used to.
    def test_a_load_with_further_figures_is_read(self) -> None:
        for text, found in (
            ("3,1,8,100", UpstreamLoad(3, 1, 8)),
            ("3,1,8,250", UpstreamLoad(3, 1, 8, 2.5)),
            ("3,1,8,0", UpstreamLoad(3, 1, 8)),
            ("3,1,8,999999999", UpstreamLoad(3, 1, 8, MAX_SLOWDOWN)),
            ("3,1,8,1", UpstreamLoad(3, 1, 8, MIN_SLOWDOWN)),
            ("3,1,8,250,7", UpstreamLoad(3, 1, 8, 2.5, has_unread_figures=True)),
            ("3,1,8,fast", UpstreamLoad(3, 1, 8, has_unread_figures=True)),
        ):
            with self.subTest(text):
                self.assertEqual(read_signals(200, {"x-load": text}, NAMES).load, found)


class UnreadHeadersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.counts: Counter[str] = Counter()
        self.unread = UnreadHeaders(("X-Known",), lambda name: self.counts.update([name]))

    # Guards against a new signal header of upstreams that the gateway ignores unnoticed.
    def test_an_unknown_header_is_counted_and_logged_once_without_its_value(self) -> None:
        with self.assertLogs(level="WARNING") as logs:
            for _ in range(3):
                self.unread.note("drafts", {"X-New-Word": "secret", "x-known": "1", "Date": "-"})
        self.assertEqual(self.counts, {"unread_header_x_new_word": 3})
        self.assertEqual(len(logs.output), 1)
        self.assertIn("x-new-word", logs.output[0])
        self.assertNotIn("secret", logs.output[0])

    # Guards against an upstream that fills memory, metrics and logs with random header names.
    def test_names_are_bounded_in_number_and_length(self) -> None:
        with self.assertLogs(level="WARNING") as logs:
            for number in range(10 * MAX_NAMES):
                self.unread.note("drafts", [f"x-{number}-" + "y" * 500])
        self.assertEqual(len(logs.output), MAX_NAMES)
        self.assertEqual(len(self.counts), MAX_NAMES + 1)
        self.assertEqual(self.counts["unread_header_others"], 9 * MAX_NAMES)
        self.assertLessEqual(max(map(len, self.counts)), MAX_NAME_CHARS + len("unread_header_"))
