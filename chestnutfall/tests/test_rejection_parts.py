"""Upstreams that bear few rejections: parts of gateways and of the leader, without a network."""

from __future__ import annotations

import random
import unittest

from ..clock import ManualClock
from ..concurrency.messages import EndTurn
from ..concurrency.service_room import ServiceRoom
from ..control.upstream_record import UpstreamRecord
from ..coordination.gateway_session import GatewaySession
from ..coordination.gateway_sessions import GatewaySessions
from ..coordination.messages import RunningSend, RunningSends
from ..coordination.rejection_coordinator import NEW_TERM_MS, RejectionCoordinator
from ..forwarding.running_sends import REUSE_MS, RunningEngineSends
from ..limits.known_limits import KnownLimits
from ..limits.limit_registry import LimitRegistry
from ..limits.plain_send_queues import PlainSendQueues
from ..placement import AdapterName, PlaceRequest, RunOutcome
from ..placement.placer import Placer
from ..placement.rejection_guard import UNCERTAIN_MS, WINDOW_MS, RejectionGuard
from ..routes import EngineSpec, ModelSpec
from ..signals.known_backoffs import KnownBackoffs
from ..signals.known_rejections import KnownRejections
from ..signals.known_signals import KnownSignals
from ..signals.messages import HeardRejections, RejectionsInForce
from ..signals.rejection_signal import (
    DeclaredRejections,
    UndeclaredRejections,
    UnreadableRejections,
    read_rejections,
)
from ..signals.upstream_load import UpstreamLoad
from ..signals.upstream_signals import UpstreamSignals
from .fakes.accounts import usual_memory
from .fakes.rejecting_office import RejectingOffice

BATCH = 8
REJECTIONS_PER_S = 3
STEPS = 600
"""Six seconds."""
MIN_SERVED = 0.75 * STEPS * 10 * BATCH / 180
"""Three quarters of the requests that an engine can run in that time, at 180 ms each."""
SPEC = EngineSpec(BATCH, 100_000, (ModelSpec("base", 50),), 1_000, 4, 5)
ENGINE = UpstreamRecord("e", "s", "10.0.0.1:80", "dc")


def request(ticket: str) -> PlaceRequest:
    return PlaceRequest(
        ticket, "s", AdapterName("", ""), 10, 10, (), 1, 500, 4000, "dc", (), 300, ""
    )


class ReadRejectionsTest(unittest.TestCase):
    def test_only_whole_numbers_are_read(self) -> None:
        self.assertEqual(read_rejections(None), UndeclaredRejections())
        for text, per_s in (("3", 3), ("0", 0), (" 12 ", 12)):
            self.assertEqual(read_rejections(text), DeclaredRejections(per_s))
        for text in ("", "3.0", "-1", "+3", "three", "1_0", "²", "nan"):
            with self.subTest(text):
                self.assertIsInstance(read_rejections(text), UnreadableRejections)


class KnownRejectionsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.reports: list[HeardRejections] = []
        self.known = KnownRejections(self.reports.append, self.clock)

    def _hear(self, per_s: int | None, rejected: bool = False, succeeded: bool = True) -> None:
        signal = UndeclaredRejections() if per_s is None else DeclaredRejections(per_s)
        self.known.observe("e", signal, succeeded and not rejected, rejected)

    async def test_changes_are_reported_once_and_end_with_a_success_without_the_header(
        self,
    ) -> None:
        self._hear(3)
        self._hear(3)
        self._hear(None, succeeded=False)
        self._hear(None)
        self.assertEqual(self.reports, [HeardRejections("e", 3), HeardRejections("e", None)])
        self.assertEqual(self.known.reports_for_new_leader(), ())

    # Guards against a gateway that alone takes all rejections that an upstream bears, and one more.
    async def test_nothing_is_sent_for_the_rest_of_the_second_once_they_are_used_up(self) -> None:
        self._hear(2, rejected=True)
        self.assertTrue(self.known.may_send("e"))
        self._hear(2, rejected=True)
        self.assertFalse(self.known.may_send("e"))
        await self.clock.advance(WINDOW_MS)
        self.assertTrue(self.known.may_send("e"))

    async def test_an_upstream_that_bears_none_gets_requests_until_it_rejects_one(self) -> None:
        self._hear(0)
        self.assertTrue(self.known.may_send("e"))
        self._hear(0, rejected=True)
        self.assertFalse(self.known.may_send("e"))

    # Guards against a gateway that learns of such an upstream only by its own rejections.
    async def test_what_others_heard_holds_here(self) -> None:
        self.known.apply(RejectionsInForce((HeardRejections("e", 1),)))
        self.assertEqual(self.known.per_s("e"), 1)
        self.known.apply(RejectionsInForce((HeardRejections("e", None),)))
        self.assertIsNone(self.known.per_s("e"))


class KnownSignalsTest(unittest.TestCase):
    # Guards against a leader that never hears of an upstream, so that it limits nobody's requests.
    def test_answers_are_reported_through_the_object_that_was_passed(self) -> None:
        clock = ManualClock()
        reports: list[HeardRejections] = []
        known = KnownRejections(reports.append, clock)
        limits = KnownLimits(lambda report: None, lambda: 1, clock, random.Random(1))
        backoffs = KnownBackoffs(lambda report: None, clock)
        signals = KnownSignals(limits, backoffs, clock, known)
        answer = UpstreamSignals(rejections=DeclaredRejections(3))
        signals.observe("e", answer, clock.now_ms(), succeeded=True)
        self.assertEqual(reports, [HeardRejections("e", 3)])
        self.assertEqual(known.per_s("e"), 3)


class RejectionGuardTest(unittest.TestCase):
    def setUp(self) -> None:
        self.guard = RejectionGuard()
        self.guard.per_s = 3

    def test_an_engine_without_the_signal_is_used_to_the_brim(self) -> None:
        self.guard.per_s = None
        for at in range(20):
            self.guard.note_end("t", RunOutcome.FULL, at)
            self.guard.note_end("t", RunOutcome.LEFT, at)
        self.assertTrue(self.guard.may_send(BATCH + 5, BATCH, 20))

    # Guards against a burst that is rejected as a whole: places that are still in use were given.
    def test_places_of_requests_that_ended_without_an_answer_are_kept_for_a_while(self) -> None:
        for _ in range(2):
            self.guard.note_end("t", RunOutcome.LEFT, 0)
        self.assertTrue(self.guard.may_send(BATCH - 3, BATCH, 1))
        self.assertFalse(self.guard.may_send(BATCH - 2, BATCH, 1))
        self.assertTrue(self.guard.may_send(BATCH - 2, BATCH, UNCERTAIN_MS))

    def test_such_a_place_is_free_once_the_longest_recent_run_would_have_ended(self) -> None:
        self.guard.note_granted("whole", 0)
        self.guard.note_end("whole", RunOutcome.DONE, 100)
        self.guard.note_granted("left", 100)
        self.guard.note_end("left", RunOutcome.LEFT, 150)
        self.assertFalse(self.guard.may_send(BATCH - 1, BATCH, 240))
        self.assertTrue(self.guard.may_send(BATCH - 1, BATCH, 250))

    def test_one_rejection_is_kept_back_for_requests_on_their_way(self) -> None:
        self.guard.note_end("t", RunOutcome.FULL, 0)
        self.assertTrue(self.guard.may_send(0, BATCH, 1))
        self.guard.note_end("t", RunOutcome.FULL, 1)
        self.assertFalse(self.guard.may_send(0, BATCH, 2))
        self.assertTrue(self.guard.may_send(0, BATCH, WINDOW_MS + 1))

    # Guards against a new leader that fills engines before it knows what runs there.
    def test_a_new_leader_sends_few_at_a_time_and_uses_a_part_of_the_batch(self) -> None:
        self.guard.careful_until_ms, self.guard.careful_fraction = 2_000, 0.5
        sent = 0
        for _ in range(10):
            if self.guard.may_send(sent, BATCH, 0):
                sent += 1
                self.guard.note_granted(f"t{sent}", 0)
        self.assertEqual(sent, 2)
        self.assertFalse(self.guard.may_send(BATCH // 2, BATCH, 500))
        self.assertTrue(self.guard.may_send(BATCH // 2, BATCH, 2_000))


class RunningSendsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.known = KnownRejections(lambda report: None, self.clock)
        self.known.apply(RejectionsInForce((HeardRejections("e", 3),)))
        self.running = RunningEngineSends(self.known, self.clock)

    # Guards against gateways that without a leader together send more than there is room for.
    async def test_without_a_leader_a_gateway_reuses_only_the_places_that_it_had(self) -> None:
        self.running.began(request("t1"), "e")
        self.running.began(request("t2"), "e")
        self.assertFalse(self.running.may_send_without_leader("e"))
        self.running.ended("t1")
        self.assertTrue(self.running.may_send_without_leader("e"))
        self.running.began(request("t3"), "e")
        self.assertFalse(self.running.may_send_without_leader("e"))
        self.running.ended("t3")
        await self.clock.advance(REUSE_MS + 1)
        self.assertFalse(self.running.may_send_without_leader("e"))
        self.assertTrue(self.running.may_send_without_leader("other"))

    async def test_a_new_leader_is_told_only_of_upstreams_that_bear_few(self) -> None:
        self.running.began(request("t1"), "e")
        self.running.began(request("t2"), "other")
        told = self.running.reports_for_new_leader()
        self.assertEqual(told, (RunningSends((RunningSend(request("t1"), "e"),)),))
        self.known.apply(RejectionsInForce((HeardRejections("e", None),)))
        self.assertEqual(self.running.reports_for_new_leader(), ())


class NewLeaderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.placer = Placer(self.clock)
        self.sessions = GatewaySessions(usual_memory())
        turns: PlainSendQueues[GatewaySession] = PlainSendQueues(
            LimitRegistry(self.clock), lambda service: [], lambda *_: True, self.clock
        )
        self.coordinator = RejectionCoordinator(self.placer, turns, self.sessions, self.clock)

    def _join(self, name: str, *tickets: str) -> GatewaySession:
        session = GatewaySession(name, known_gateways=2)
        self.sessions.add(session)
        self.coordinator.add_gateway(session)
        self.coordinator.record(HeardRejections("e", 3))
        sends = tuple(RunningSend(request(ticket), "e") for ticket in tickets)
        self.coordinator.adopt(session, RunningSends(sends))
        return session

    def _serve(self) -> None:
        self.placer.engine_up("e", "s", "dc", SPEC)
        self.coordinator.set_serving([ENGINE])

    # Guards against a new leader that takes places for free that requests still hold.
    async def test_a_new_leader_begins_with_what_gateways_have_running(self) -> None:
        self._join("g1", "g1/1", "g1/2")
        self._serve()
        self._join("g2", *(f"g2/{at}" for at in range(6)))
        engine = self.placer.engines["e"]
        self.assertEqual(len(engine.running), BATCH)
        self.assertFalse(engine.has_batch_place(0))
        self.placer.release("g1/1", RunOutcome.DONE)
        self.assertTrue(engine.has_batch_place(0))

    async def test_until_all_gateways_have_told_only_a_part_of_the_batch_is_used(self) -> None:
        self._serve()
        self._join("g1", "g1/1")
        engine = self.placer.engines["e"]
        self.assertTrue(engine.rejections.may_send(BATCH // 2 - 1, BATCH, 1))
        self.assertFalse(engine.rejections.may_send(BATCH // 2, BATCH, 1))
        self.assertTrue(engine.rejections.may_send(BATCH // 2, BATCH, NEW_TERM_MS))
        self._join("g2")
        self.assertTrue(engine.rejections.may_send(BATCH - 1, BATCH, 1))

    # Guards against places that are held forever: their requests ended before the gateway joined.
    async def test_a_second_report_replaces_the_first(self) -> None:
        self._serve()
        session = self._join("g1", "g1/1", "g1/2")
        self.coordinator.adopt(session, RunningSends((RunningSend(request("g1/2"), "e"),)))
        self.assertEqual(set(self.placer.engines["e"].running), {"g1/2"})


class AllGatewaysTest(unittest.IsolatedAsyncioTestCase):
    async def _play(self, gateways: int, leader_changes: int) -> RejectingOffice:
        clock = ManualClock()
        office = RejectingOffice(gateways, REJECTIONS_PER_S, clock)
        for step in range(STEPS):
            if leader_changes and step % (STEPS // leader_changes) == STEPS // leader_changes // 2:
                office.begin_leader(delay_ms=400)
            # Two requests each 10 ms: one and a half times what three engines can run.
            office.step(2)
            await clock.advance(10)
        return office

    # Guards against engines that end since all gateways together send more than there is room for.
    async def test_under_overload_no_engine_rejects_more_than_it_bears(self) -> None:
        for gateways in (1, 9, 91, 195, 410):
            with self.subTest(gateways=gateways):
                office = await self._play(gateways, 0)
                for engine in office.engines.values():
                    self.assertLessEqual(engine.most_rejected(), REJECTIONS_PER_S)
                    self.assertGreater(engine.served, MIN_SERVED)

    # Guards against engines that end whenever the leader changes.
    async def test_over_changes_of_leader_no_engine_rejects_more_than_it_bears(self) -> None:
        for gateways in (1, 9, 91, 195, 410):
            with self.subTest(gateways=gateways):
                office = await self._play(gateways, 3)
                for engine in office.engines.values():
                    self.assertLessEqual(engine.most_rejected(), REJECTIONS_PER_S)


class PlainRoomTest(unittest.TestCase):
    def setUp(self) -> None:
        self.room: ServiceRoom[str] = ServiceRoom(0)
        self.room.set_serving(["u"])
        self.room.end("g", EndTurn(0, "u", RunOutcome.DONE.value, 20.0, _load()), 0)

    def _given(self, now_ms: int) -> int:
        given = 0
        while "u" in self.room.free(now_ms):
            given += 1
            self.room.give("g", given, "u", 1_000, now_ms)
        return given

    # Guards against calls that wait at an upstream that may let none wait.
    def test_no_call_waits_at_an_upstream_that_bears_few_rejections(self) -> None:
        self.room.set_rejections({"u": 3})
        self.assertEqual(self._given(1_000), 6)

    def test_other_upstreams_are_used_to_the_brim(self) -> None:
        self.assertGreater(self._given(1_000), 6)

    def test_its_room_is_given_out_as_long_as_it_says_so(self) -> None:
        self.room.set_rejections({"u": 3})
        for now_ms in range(0, 10_000, 100):
            self.room.note_use(0, now_ms)
        self.assertTrue(self.room.shortage.short)

    def test_after_rejections_nothing_is_given_for_the_rest_of_the_second(self) -> None:
        self.room.set_rejections({"u": 3})
        for number in range(2):
            self.room.end("g", EndTurn(number, "u", RunOutcome.FULL.value, 1.0, None), 1_000)
        self.assertEqual(self.room.free(1_010), {})
        self.assertIn("u", self.room.free(2_000))

    # Guards against an upstream that starts again and is left idle for rejections of before, and
    # against the rejections of upstreams that are gone taking memory for a leader's whole term.
    def test_rejections_of_an_upstream_that_is_gone_are_forgotten(self) -> None:
        self.room.set_rejections({"u": 3})
        for number in range(2):
            self.room.end("g", EndTurn(number, "u", RunOutcome.FULL.value, 1.0, None), 1_000)
        self.room.set_serving([])
        self.room.set_serving(["u"])
        self.assertIn("u", self.room.free(1_010))


def _load() -> UpstreamLoad:
    return UpstreamLoad(0, 0, 6)
