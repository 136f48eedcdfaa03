"""Backoffs as gateways know them, as the leader keeps them, and as callers see them."""

from __future__ import annotations

import math
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from ..clock import ManualClock
from ..control.upstream_record import UpstreamRecord
from ..coordination.backoff_coordinator import MAX_HINTS, SEND_INTERVAL_MS, BackoffCoordinator
from ..coordination.gateway_session import GatewaySession
from ..coordination.gateway_sessions import GatewaySessions
from ..forwarding.repeats import UNSENT_LIFE_MS, Repeats
from ..placement.placer import Placer
from ..settings.repeat_bounds import RepeatBounds
from ..signals import AskedBackoff, UnreadableBackoff, UpstreamSignals
from ..signals.backoff_registry import MAX_ABSENT_UPSTREAMS, BackoffRegistry
from ..signals.known_backoffs import MAX_BACKOFFS
from ..signals.messages import BackoffHints, HeardBackoff
from ..signals.retry_spread import LEAVING_RETRY_MS, MAX_RETRY_MS, RetrySpread
from ..signals.upstream_backoff import PROBE_MS, RAMP_MS, RAMP_STEPS, UpstreamBackoff
from .fakes.accounts import usual_memory
from .fakes.limit_parts import known_signals
from .fakes.long_ago import LONG_AGO_MS

LEAVING = UpstreamSignals(leaving=True)


def _asks(ms: int) -> UpstreamSignals:
    return UpstreamSignals(backoff=AskedBackoff(ms))


class KnownBackoffsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(1_000)
        self.reports: list[HeardBackoff] = []
        self.signals = known_signals(self.clock, self.reports)
        self.known = self.signals.backoffs

    def _pass_ms(self, ms: int) -> None:
        self.clock._now_ms += ms

    def test_a_backoff_holds_until_its_end_and_no_longer(self) -> None:
        self.known.observe("i", _asks(300))
        self.assertFalse(self.signals.may_send("i"))
        self.assertTrue(self.signals.may_send("j"))
        self._pass_ms(299)
        self.assertFalse(self.signals.may_send("i"))
        self._pass_ms(1)
        self.assertTrue(self.signals.may_send("i"))

    # Guards against a shorter backoff replacing a longer one, as answers arrive in any order.
    @given(st.lists(st.tuples(st.integers(0, 500), st.integers(0, 2_000)), max_size=20))
    def test_the_latest_end_of_several_backoffs_holds(self, steps: list[tuple[int, int]]) -> None:
        clock = ManualClock()
        signals = known_signals(clock)
        last_ms = 0
        for wait_ms, ms in steps:
            signals.backoffs.observe("i", _asks(ms))
            last_ms = max(last_ms, clock.now_ms() + ms)
            clock._now_ms += wait_ms
            self.assertEqual(signals.may_send("i"), clock.now_ms() >= last_ms)

    # Guards against sends to a leaving upstream after an earlier, shorter backoff ended.
    def test_leaving_never_ends(self) -> None:
        self.known.observe("i", LEAVING)
        self.known.observe("i", _asks(10))
        self.known.observe("i", UpstreamSignals())
        self._pass_ms(10_000_000)
        self.assertFalse(self.signals.may_send("i"))
        self.assertEqual(self.known.reports_for_new_leader(), (HeardBackoff("i", None),))

    def test_each_backoff_is_reported_once_and_again_to_a_new_leader(self) -> None:
        for ms in (500, 200, 500, 900):
            self.known.observe("i", _asks(ms))
        self.known.observe("j", LEAVING)
        self.known.observe("j", LEAVING)
        self.assertEqual(
            self.reports,
            [HeardBackoff("i", 500), HeardBackoff("i", 900), HeardBackoff("j", None)],
        )
        self._pass_ms(400)
        self.assertEqual(
            self.known.reports_for_new_leader(), (HeardBackoff("i", 500), HeardBackoff("j", None))
        )
        self._pass_ms(500)
        self.assertEqual(self.known.reports_for_new_leader(), (HeardBackoff("j", None),))

    # Guards against an upstream that fills the logs with unreadable headers.
    def test_what_is_unreadable_is_logged_once(self) -> None:
        with self.assertLogs(level="WARNING") as logs:
            for _ in range(5):
                self.known.observe("i", UpstreamSignals(backoff=UnreadableBackoff("soon")))
        self.assertEqual(len(logs.output), 1)
        self.assertTrue(self.signals.may_send("i"))

    # Guards against memory that grows with every incarnation that left.
    def test_memory_is_bounded(self) -> None:
        for number in range(MAX_BACKOFFS + 500):
            self.known.observe(f"i{number}", LEAVING)
            self.known.apply_hints(BackoffHints((HeardBackoff(f"h{number}", None),)))
        self.assertEqual(len(self.known), MAX_BACKOFFS)
        self.assertTrue(self.signals.may_send("i0"))
        self.assertFalse(self.signals.may_send(f"i{MAX_BACKOFFS + 499}"))
        self.assertFalse(self.known.probably_rejects("h0"))

    def test_the_time_until_the_first_of_several_accepts_requests(self) -> None:
        self.known.observe("i", _asks(700))
        self.known.observe("j", LEAVING)
        self.assertEqual(self.signals.held_back_ms(["i", "j"]), 700)
        self.assertEqual(self.signals.held_back_ms(["j"]), math.inf)
        self.assertEqual(self.signals.held_back_ms(["i", "k"]), 0)
        self.assertEqual(self.signals.held_back_ms([]), 0)

    # Guards against all gateways avoiding an upstream that asked only one for a backoff.
    def test_a_success_ends_a_hint_but_not_this_gateway_s_own_backoff(self) -> None:
        self.known.apply_hints(BackoffHints((HeardBackoff("i", 500), HeardBackoff("j", None))))
        self.known.observe("k", _asks(500))
        self.assertTrue(self.known.probably_rejects("i"))
        self.assertTrue(self.signals.may_send("i"))
        for instance in ("i", "j", "k"):
            self.signals.observe(instance, UpstreamSignals(), 900, succeeded=True)
        self.assertFalse(self.known.probably_rejects("i"))
        self.assertTrue(self.known.probably_rejects("j"))
        self.assertFalse(self.signals.may_send("k"))


class UpstreamBackoffTest(unittest.TestCase):
    def setUp(self) -> None:
        self.backoff = UpstreamBackoff()

    def test_the_gateway_that_was_asked_waits_and_others_send_probes(self) -> None:
        self.assertTrue(self.backoff.update("g1", 2_000, 1_000))
        self.assertEqual(self.backoff.wait_ms("g1", 1_400), 600)
        self.assertEqual(self.backoff.wait_ms("g2", 1_000), PROBE_MS)
        self.assertEqual(self.backoff.wait_ms("g2", 1_000 + PROBE_MS), 0)
        self.backoff.note_sent("g2/1", 1_000 + PROBE_MS)
        self.assertEqual(self.backoff.wait_ms("g3", 1_000 + PROBE_MS), PROBE_MS)

    # Guards against all gateways avoiding an upstream that rejected only one.
    def test_a_served_probe_ends_the_wait_of_the_others(self) -> None:
        self.backoff.update("g1", 9_000, 1_000)
        self.backoff.note_sent("g2/1", 1_400)
        self.backoff.served("g3/7")
        self.assertTrue(self.backoff.probably_rejects(1_500))
        self.backoff.served("g2/1")
        self.assertFalse(self.backoff.probably_rejects(1_500))
        self.assertEqual(self.backoff.wait_ms("g2", 1_500), 0)
        self.assertEqual(self.backoff.wait_ms("g1", 1_500), 7_500)

    # Guards against the calls of all gateways arriving at once when the backoff ends.
    def test_the_allowed_sends_double_after_a_backoff(self) -> None:
        self.backoff.update("g1", 2_000, 1_000)
        sent = []
        for now_ms in range(2_000, 2_000 + RAMP_MS * RAMP_STEPS):
            while not self.backoff.wait_ms("g2", now_ms) and len(sent) < 200:
                self.backoff.note_sent("t", now_ms)
                sent.append(now_ms)
        for step in range(1, 6):
            within = sum(at_ms < 2_000 + RAMP_MS * step for at_ms in sent)
            self.assertLess(within, 2**step)
            self.assertGreater(within, 2 ** (step - 1) - 1)
        self.assertEqual(self.backoff.wait_ms("g2", 2_000 + RAMP_MS * RAMP_STEPS), 0)

    def test_a_leaving_upstream_accepts_no_request_again(self) -> None:
        self.backoff.update("g1", math.inf, 1_000)
        self.backoff.note_sent("g2/1", 1_400)
        self.backoff.served("g2/1")
        self.assertTrue(self.backoff.probably_rejects(10**9))
        self.assertEqual(self.backoff.unavailable_ms("g2", 10**9), math.inf)
        self.assertEqual(self.backoff.wait_ms("g1", 10**9), math.inf)

    def test_a_report_without_a_later_end_needs_no_hint(self) -> None:
        self.assertFalse(self.backoff.update("g1", 1_000, 1_000))
        self.assertTrue(self.backoff.update("g1", 2_000, 1_000))
        self.assertFalse(self.backoff.update("g1", 1_500, 1_000))
        self.assertFalse(self.backoff.update("g2", 1_900, 1_000))
        self.assertTrue(self.backoff.update("g2", 2_100, 1_000))
        self.backoff.forget_gateway("g2")
        self.assertEqual(self.backoff.wait_ms("g2", 1_000 + PROBE_MS), 0)

    def test_without_a_backoff_no_request_waits(self) -> None:
        self.assertEqual(self.backoff.wait_ms("g", 0), 0)
        self.assertEqual(self.backoff.unavailable_ms("g", 0), 0)


class BackoffCoordinatorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(60_000)
        self.registry = BackoffRegistry(self.clock)
        self.sessions = GatewaySessions(usual_memory())
        placer = Placer(self.clock, backoffs=self.registry)
        self.coordinator = BackoffCoordinator(self.registry, placer, self.sessions, self.clock)
        self.reporting, self.other = self._join("g1"), self._join("g2")

    def _join(self, name: str) -> GatewaySession:
        session = GatewaySession(name)
        self.sessions.add(session)
        self.coordinator.send_initial_state(session)
        return session

    def _received(self, session: GatewaySession) -> list[object]:
        return [session.out.get_nowait() for _ in range(session.out.qsize())]

    def test_hints_are_sent_at_once_and_then_ten_times_a_second(self) -> None:
        self.coordinator.record_backoff(self.reporting, HeardBackoff("p", 3_000))
        self.coordinator.send_due()
        self.assertEqual(self._received(self.other), [BackoffHints((HeardBackoff("p", 3_000),))])
        for left_ms in (3_500, 4_000):
            self.coordinator.record_backoff(self.reporting, HeardBackoff("p", left_ms))
            self.coordinator.send_due()
        self.assertEqual(self._received(self.other), [])
        self.clock._now_ms += SEND_INTERVAL_MS
        self.coordinator.send_due()
        self.assertEqual(len(self._received(self.other)), 1)

    def test_a_new_session_receives_the_active_hints(self) -> None:
        self.coordinator.record_backoff(self.reporting, HeardBackoff("p", 3_000))
        self.coordinator.record_backoff(self.reporting, HeardBackoff("q", None))
        self.clock._now_ms += 1_000
        hints = BackoffHints((HeardBackoff("p", 2_000), HeardBackoff("q", None)))
        self.assertEqual(self._received(self._join("g3")), [hints])
        self.clock._now_ms += 2_000
        self.assertEqual(
            self._received(self._join("g4")), [BackoffHints((HeardBackoff("q", None),))]
        )

    # Guards against thousands of hints at once to hundreds of gateways.
    def test_one_message_is_bounded(self) -> None:
        for number in range(1_000):
            self.coordinator.record_backoff(self.reporting, HeardBackoff(f"p{number}", 3_000))
        self.coordinator.send_due()
        (msg,) = self._received(self.other)
        self.assertEqual(len(getattr(msg, "hints", ())), MAX_HINTS)

    # Guards against memory that grows with every incarnation that left.
    def test_absent_upstreams_are_dropped_except_the_newest(self) -> None:
        for number in range(MAX_ABSENT_UPSTREAMS + 500):
            self.coordinator.record_backoff(self.reporting, HeardBackoff(f"p{number}", None))
        self.coordinator.set_serving([UpstreamRecord("p0", "s", "1:1", "dc")])
        self.assertEqual(len(list(self.registry.active_hints())), MAX_ABSENT_UPSTREAMS + 1)

    def test_backoffs_of_an_ended_session_are_dropped(self) -> None:
        self.coordinator.record_backoff(self.reporting, HeardBackoff("p", 3_000))
        self.clock._now_ms += PROBE_MS
        self.assertFalse(self.registry.may_send("g1", "p"))
        self.coordinator.remove_gateway(self.reporting)
        self.assertTrue(self.registry.may_send("g1", "p"))


class RetrySpreadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(1_000)
        self.spread = RetrySpread(self.clock)

    # Guards against callers that all retry at the moment at which the backoff ends.
    def test_retry_times_are_spread_after_the_end_of_a_backoff(self) -> None:
        back_ms = []
        for _ in range(200):
            left_ms = 3_000 - (self.clock.now_ms() - 1_000)
            back_ms.append(self.clock.now_ms() + self.spread.wait_ms("s", left_ms))
            self.clock._now_ms += 10
        self.assertGreaterEqual(min(back_ms), 4_000)
        self.assertLessEqual(max(back_ms), 5_500)
        densest = max(sum(at <= one < at + 100 for one in back_ms) for at in range(4_000, 5_500))
        self.assertLess(densest, 0.25 * len(back_ms))

    def test_no_retry_time_is_more_than_twice_the_time_left(self) -> None:
        for _ in range(5_000):
            self.assertLessEqual(self.spread.wait_ms("s", 800), 1_600)
            self.clock._now_ms += 1

    def test_a_day_and_leaving_upstreams_have_a_retry_time_as_well(self) -> None:
        self.assertEqual(self.spread.wait_ms("s", 86_400_000), MAX_RETRY_MS)
        self.assertEqual(self.spread.wait_ms("t", math.inf), LEAVING_RETRY_MS)


class UnusedRepeatTest(unittest.IsolatedAsyncioTestCase):
    # Guards against spending repeats although nothing was sent.
    async def test_a_repeat_that_was_not_sent_is_there_for_the_next_call(self) -> None:
        clock = ManualClock()

        async def lend(service: str) -> bool:
            return False

        repeats = Repeats(
            RepeatBounds(0.0, 20, 10_000), lambda: 1, lend, clock, random.Random(1), LONG_AGO_MS
        )
        spent = 0
        while await repeats.spend("s", upstream_is_busy=False):
            spent += 1
        self.assertGreater(spent, 0)
        repeats.refund("s")
        self.assertTrue(await repeats.spend("s", upstream_is_busy=False))
        self.assertFalse(await repeats.spend("s", upstream_is_busy=False))
        repeats.refund("s")
        clock._now_ms += UNSENT_LIFE_MS + 1
        self.assertFalse(await repeats.spend("s", upstream_is_busy=False))
