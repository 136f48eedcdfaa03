"""Reading limits, choosing the newest of several answers, and timing the next request."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from ..clock import ManualClock, SlidingWindow
from ..concurrency.turn_messages import AskTurn
from ..limits import DeclaredLimit, UndeclaredLimit, UnreadableLimit, read_limit
from ..limits.latest_limit import LatestLimit
from ..limits.limit_registry import MAX_ABSENT_UPSTREAMS, LimitRegistry
from ..limits.messages import HeardLimit, LimitsInForce, RequestLimit
from ..limits.plain_send_queues import PlainSendQueues
from ..limits.turn_round import NO_UPSTREAM_RETRY_MS
from ..limits.unreadable_value import MAX_UNREADABLE_CHARS
from ..limits.upstream_limit import BURST_MS, MIN_PER_S, RECENT_MS, UpstreamLimit
from .fakes.limit_parts import known_limits

PER_S = st.one_of(st.none(), st.floats(0, 40))


class ReadLimitTest(unittest.TestCase):
    def test_decimal_numbers_are_limits(self) -> None:
        for text, per_s in (("7.1", 7.1), ("0", 0.0), ("3", 3.0), ("1e2", 100.0), (" 2.5 ", 2.5)):
            with self.subTest(text):
                self.assertEqual(read_limit(text), DeclaredLimit(per_s))

    def test_anything_else_is_unreadable_and_its_absence_is_no_limit(self) -> None:
        for text in ("", "many", "-1", "nan", "inf", "-inf", "1,5", "1e999"):
            with self.subTest(text):
                self.assertEqual(read_limit(text), UnreadableLimit(text))
        self.assertEqual(read_limit(None), UndeclaredLimit())

    # Guards against an upstream that fills the logs with long header values.
    def test_long_texts_are_cut(self) -> None:
        self.assertEqual(read_limit("x" * 8_000), UnreadableLimit("x" * MAX_UNREADABLE_CHARS))


class LatestLimitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.latest = LatestLimit()

    # Guards against a delayed answer, produced before the limit was declared, that removes it.
    def test_the_lower_limit_of_overlapping_exchanges_holds(self) -> None:
        self.assertTrue(self.latest.update(7.0, 100, 120))
        self.assertFalse(self.latest.update(None, 90, 130))
        self.assertFalse(self.latest.update(9.0, 110, 131))
        self.assertTrue(self.latest.update(3.0, 110, 132))
        self.assertEqual(self.latest.per_s, 3.0)

    def test_a_later_request_s_answer_raises_and_ends_a_limit(self) -> None:
        self.latest.update(7.0, 100, 120)
        self.assertTrue(self.latest.update(9.0, 121, 140))
        self.assertTrue(self.latest.update(None, 141, 160))
        self.assertIsNone(self.latest.per_s)

    # Guards against a gateway that reconnects and reports an ended limit to a new leader.
    def test_an_answer_received_before_the_newest_request_was_sent_is_ignored(self) -> None:
        self.latest.update(None, 200, 220)
        self.assertFalse(self.latest.update(3.0, 150, 190))
        self.assertIsNone(self.latest.per_s)


class UpstreamLimitTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.integers(0, 400), st.floats(0.5, 30), st.booleans()), max_size=60))
    def test_never_more_than_its_rate_and_one_burst(
        self, steps: list[tuple[int, float, bool]]
    ) -> None:
        limit, now_ms, sent, allowed, most = UpstreamLimit(), 0, 0, 0.0, 0.0
        limit.update(10.0, 0, 0, 0)
        for wait_ms, per_s, changes in steps:
            allowed += (limit.per_s or 0.0) * wait_ms / 1000
            now_ms += wait_ms
            while not limit.wait_ms(0, now_ms):
                limit.note_sent(now_ms)
                sent += 1
            if changes:
                limit.update(per_s, now_ms, now_ms, now_ms)
            most = max(most, limit.per_s or 0.0)
            self.assertLessEqual(sent, allowed + 1 + most * BURST_MS / 1000)

    @given(st.integers(0, 100), st.floats(0.5, 30))
    def test_a_new_limit_counts_recent_sends_but_not_for_long(
        self, sent: int, per_s: float
    ) -> None:
        limit = UpstreamLimit()
        for _ in range(sent):
            limit.note_sent(1_000)
        limit.update(per_s, 1_000, 1_000, 1_000)
        self.assertGreater(limit.wait_ms(0, 1_000), 0)
        self.assertLessEqual(limit.wait_ms(0, 1_000), RECENT_MS + 1_000 / per_s + 1)

    def test_a_lower_limit_counts_the_sends_under_the_higher_one(self) -> None:
        limit = UpstreamLimit()
        limit.update(30.0, 0, 0, 0)
        for now_ms in range(10_000, 11_000, 50):
            limit.note_sent(now_ms)
        self.assertEqual(limit.wait_ms(0, 11_000), 0)
        limit.update(10.0, 11_000, 11_000, 11_000)
        self.assertGreater(limit.wait_ms(0, 11_000), RECENT_MS)

    def test_an_upstream_with_a_limit_of_zero_still_gets_some_requests(self) -> None:
        limit = UpstreamLimit()
        limit.update(0.0, 0, 0, 0)
        self.assertEqual(limit.declared_per_s, 0.0)
        self.assertLessEqual(limit.wait_ms(0, 0), 2_000 / MIN_PER_S)

    # Guards against a leader whose memory grows with every send to upstreams without a limit.
    def test_sends_of_long_ago_are_forgotten_also_while_there_is_no_limit(self) -> None:
        window = SlidingWindow(RECENT_MS)
        for now_ms in range(0, 100_000, 10):
            window.note(now_ms)
        self.assertLessEqual(len(window), RECENT_MS // 10 + 1)
        self.assertEqual(window.count(99_990), RECENT_MS // 10)

    def test_without_a_limit_no_request_waits(self) -> None:
        limit = UpstreamLimit()
        self.assertEqual(limit.wait_ms(1_000, 0), 0)
        limit.update(3.0, 0, 0, 0)
        limit.update(None, 1, 1, 1)
        self.assertEqual(limit.wait_ms(1_000, 1), 0)


class LimitRegistryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = LimitRegistry(ManualClock())

    # Guards against a controller that keeps every upstream that ever declared a limit.
    def test_absent_upstreams_are_dropped_except_the_newest(self) -> None:
        for at in range(2 * MAX_ABSENT_UPSTREAMS):
            self.registry.update(HeardLimit(f"i{at}", 3.0, 0), counts_sends=True)
            self.registry.ensure(f"free{at}")
        self.registry.forget_absent({"i0", "free0"})
        self.assertEqual(len(self.registry.in_force()), MAX_ABSENT_UPSTREAMS + 1)
        self.assertEqual(self.registry.declared_per_s("i0"), 3.0)
        self.assertIsNone(self.registry.declared_per_s("i5"))


class PlainSendQueuesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(60_000)
        self.registry = LimitRegistry(self.clock)
        self.serving = ["p0", "p1"]
        self.queues: PlainSendQueues[str] = PlainSendQueues(
            self.registry, lambda service: self.serving, lambda gateway, one: True, self.clock
        )
        for instance in self.serving:
            self.registry.update(HeardLimit(instance, 5.0, 0), counts_sends=False)
        self.clock._now_ms += 3_000

    def _ask(self, number: int, wait_ms: int = 500, rank: int = 1, organisation: str = "") -> None:
        self.queues.enqueue(
            AskTurn(number, "s", ("p1",), organisation, rank, wait_ms), f"g{number}"
        )

    def _due(self) -> dict[int, str]:
        return {turn.answer.number: turn.answer.instance for turn in self.queues.due()}

    def test_one_that_failed_the_call_is_the_last_choice(self) -> None:
        self._ask(1)
        self.assertEqual(self._due(), {1: "p0"})
        for number in range(2, 5):
            self._ask(number)
        self.assertIn("p1", self._due().values())

    def test_more_urgent_calls_go_first(self) -> None:
        for number in range(20):
            self._ask(number, rank=2)
        self._ask(99, rank=0)
        self.assertTrue(self._due()[99])

    # Guards against a call that waits although another upstream would accept it at once.
    def test_a_call_that_can_not_wait_is_answered_at_once(self) -> None:
        for number in range(40):
            self._ask(number, wait_ms=0)
        answers = list(self.queues.due())
        self.assertEqual(len(answers), 40)
        self.assertEqual(self.queues.waiting, 0)
        refused = [one.answer for one in answers if not one.answer.instance]
        self.assertLessEqual(max(one.retry_after_ms for one in refused), 200)

    def test_calls_of_an_ended_session_are_dropped(self) -> None:
        for number in range(10):
            self._ask(number)
        self.queues.drop_gateway("g0")
        self.assertNotIn(0, self._due())

    def test_where_nothing_serves_the_call_is_refused(self) -> None:
        self.serving.clear()
        self._ask(1, wait_ms=0)
        self._ask(2, wait_ms=10)
        answers = [turn.answer for turn in self.queues.due()]
        self.assertEqual([one.instance for one in answers], ["", ""])
        self.assertEqual(answers[0].retry_after_ms, NO_UPSTREAM_RETRY_MS)

    # Guards against refusing a call for a limit that ended after the gateway asked for a send.
    def test_a_limit_that_has_just_ended_delays_no_call(self) -> None:
        for instance in self.serving:
            self.registry.update(HeardLimit(instance, None, 0), counts_sends=False)
        self._ask(1)
        self.assertEqual(self._due(), {1: "p0"})


class KnownLimitsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(60_000)
        self.reports: list[HeardLimit] = []
        self.limits = known_limits(self.clock, self.reports)

    def test_each_limit_is_reported_and_nothing_of_upstreams_without_limits(self) -> None:
        self.limits.observe("i", UndeclaredLimit(), 59_900, succeeded=True)
        self.limits.observe("i", DeclaredLimit(3.0), 59_990, succeeded=True)
        self.limits.observe("i", UndeclaredLimit(), 60_000, succeeded=True)
        self.assertEqual(self.reports, [HeardLimit("i", 3.0, 10), HeardLimit("i", None, 0)])
        self.assertIsNone(self.limits.per_s("i"))

    # Guards against a failure that a part of the upstream without knowledge of its limit produces,
    # and that removes the limit.
    def test_a_failure_without_a_limit_ends_none(self) -> None:
        self.limits.observe("i", DeclaredLimit(3.0), 59_990, succeeded=True)
        self.limits.observe("i", UndeclaredLimit(), 60_000, succeeded=False)
        self.assertEqual(self.limits.per_s("i"), 3.0)

    def test_what_is_unreadable_is_logged_once(self) -> None:
        with self.assertLogs("chestnutfall.limits.known_limits") as logs:
            for _ in range(5):
                self.limits.observe("i", UnreadableLimit("many"), 60_000, succeeded=True)
        self.assertEqual(len(logs.output), 1)

    def test_limits_from_the_leader_are_applied(self) -> None:
        self.limits.apply(LimitsInForce((RequestLimit("i", 3.0), RequestLimit("j", 0.5))))
        self.assertEqual((self.limits.per_s("i"), self.limits.per_s("j")), (3.0, 0.5))
        self.limits.apply(LimitsInForce((), ("i",)))
        self.assertIsNone(self.limits.per_s("i"))
        self.assertEqual([one.instance for one in self.limits.reports_for_new_leader()], ["j"])

    # Guards against a gateway that keeps every upstream that ever declared a limit.
    def test_memory_is_bounded(self) -> None:
        for at in range(6_000):
            self.limits.observe(f"i{at}", DeclaredLimit(3.0), 60_000, succeeded=True)
            self.limits.observe(f"i{at}", UnreadableLimit(f"{at}"), 60_000, succeeded=True)
        self.assertLessEqual(len(self.limits), 4_096)
        self.assertEqual(self.limits.per_s("i5999"), 3.0)
