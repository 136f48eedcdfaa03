"""Room of plain services as gateways know it, and the messages about it."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import unittest
from typing import Any

from ..clock import ManualClock
from ..concurrency.known_room import ASK_AGAIN_MS, LEADERLESS_PLENTY_MS, KnownRoom
from ..concurrency.leaderless_room import DRAIN_RUNS, LeaderlessRoom, shared_places
from ..concurrency.messages import (
    EndTurn,
    RoomInForce,
    RunningCalls,
    ServiceRoomState,
    ShortageReport,
)
from ..concurrency.pace import Pace
from ..concurrency.service_shortage import PLENTY_MS
from ..concurrency.shortage_detector import REPORT_INTERVAL_MS, ShortageDetector
from ..concurrency.turn_messages import NO_ROOM, PLENTY, AnswerTurn, AskTurn
from ..concurrency.waiting_call import WaitingCall
from ..coordination.gateway_session import GatewaySession
from ..coordination.gateway_sessions import GatewaySessions
from ..coordination.limit_coordinator import LimitCoordinator
from ..coordination.messages import FLEET_CODEC
from ..coordination.room_broadcaster import SEND_INTERVAL_MS, RoomBroadcaster
from ..forwarding.fleet_client import FleetClient
from ..forwarding.fleet_knowledge import FleetKnowledge
from ..forwarding.leader_questions import TURN_TIMEOUT_MS, LeaderLost
from ..limits.limit_registry import LimitRegistry
from ..limits.plain_send_queues import PlainSendQueues
from ..placement import RunOutcome
from ..placement.placer import Placer
from ..platform.document_json import DocumentJson
from ..signals import UpstreamLoad
from ..signals.backoff_registry import BackoffRegistry
from .fakes.accounts import usual_memory

FULL_LOAD = UpstreamLoad(6, 12, 6)
ANY = Pace(0.0, 0.1)


def _ask(number: int, rank: int = 1, organisation: str = "", kind: str = "k") -> AskTurn:
    return AskTurn(number, "s", (), organisation, rank, 800, 800, 300, kind)


def _waiting(asked: AskTurn, now_ms: int = 0, returned: bool = False) -> WaitingCall[str]:
    return WaitingCall(asked, "g", now_ms, now_ms + 240, now_ms + 700, returned)


class GatewayRoomTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(60_000)
        self.reports: list[ShortageReport] = []
        leaderless = LeaderlessRoom(lambda: 1, self.clock, random.Random(1))
        self.room = KnownRoom(self.reports.append, leaderless, self.clock)

    def _answer(self, load: UpstreamLoad | None, outcome: RunOutcome = RunOutcome.DONE) -> None:
        self.room.started("s", "u")
        self.room.ended("s", "u", outcome, load, 60.0)

    def _short(self) -> None:
        self.room.apply(RoomInForce((ServiceRoomState("s", True, {"u": 6, "v": 6}),)))

    # Guards against a report for each answer.
    def test_a_shortage_is_reported_at_a_bounded_rate(self) -> None:
        for _ in range(100):
            self._answer(FULL_LOAD)
            self.clock._now_ms += 10
        self.assertEqual(len(self.reports), 1_000 // REPORT_INTERVAL_MS)

    def test_a_service_that_reports_no_load_is_never_reported(self) -> None:
        self._answer(None, RunOutcome.FULL)
        self._answer(UpstreamLoad(6, 2, 6))
        self.assertEqual(self.reports, [])
        self._answer(None, RunOutcome.FULL)
        self.assertEqual([one.refused for one in self.reports], [True])

    def test_memory_is_bounded(self) -> None:
        detector = ShortageDetector()
        for at in range(3_000):
            detector.report(f"s{at}", "u", RunOutcome.DONE, FULL_LOAD, 0.0, 0)
        self.assertLessEqual(len(detector._due_ms), 1_024)

    # Guards against a gateway that is cut off and gives callers a share for ever.
    def test_without_a_leader_a_shortage_ends_by_itself(self) -> None:
        self._short()
        self.room.unanswered()
        self.clock._now_ms += LEADERLESS_PLENTY_MS
        self._answer(FULL_LOAD)
        self.clock._now_ms += LEADERLESS_PLENTY_MS
        self.assertTrue(self.room.is_short("s"))
        self.clock._now_ms += 1
        self.assertFalse(self.room.is_short("s"))

    # Guards against calls that each wait for an answer that can't come.
    def test_after_an_unanswered_question_none_is_asked_for_a_while(self) -> None:
        self.assertTrue(self.room.asks_leader())
        self.room.unanswered()
        self.assertFalse(self.room.asks_leader())
        self.clock._now_ms += ASK_AGAIN_MS
        self.assertTrue(self.room.asks_leader())

    # Guards against calls without a leader that join those to which it gave the whole room.
    def test_nothing_is_sent_until_the_last_leaders_calls_have_ended(self) -> None:
        self._short()
        self.room.unanswered()
        self.assertFalse(self.room.may_send_without_leader("s"))
        self.clock._now_ms += int(DRAIN_RUNS * self.room.run_ms("s"))
        self.assertTrue(self.room.may_send_without_leader("s"))

    def test_shares_without_a_leader_stay_within_half_and_three_deviations(self) -> None:
        for places in (1, 6, 18, 24, 400):
            shared = shared_places(places)
            self.assertLessEqual(shared, places / 2)
            self.assertLessEqual(shared + 3 * shared**0.5, places + 1e-9)

    def test_a_new_leader_hears_of_running_calls(self) -> None:
        self._answer(UpstreamLoad(1, 0, 6))
        self._short()
        self.room.started("s", "v")
        self.assertEqual(
            [(one.service, one.running) for one in self.room.reports_for_new_leader()],
            [("s", {"v": 1})],
        )


class RoomMessagesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(60_000)
        self.sessions = GatewaySessions(usual_memory())
        self.serving = ["u"]
        self.queues: PlainSendQueues[GatewaySession] = PlainSendQueues(
            LimitRegistry(self.clock),
            lambda service: self.serving,
            lambda gateway, one: True,
            self.clock,
        )
        self.broadcaster = RoomBroadcaster(self.queues, self.sessions, self.clock)
        self.session = GatewaySession("g")
        self.sessions.add(self.session)

    def _received(self) -> list[Any]:
        self.broadcaster.send_due()
        return [self.session.out.get_nowait() for _ in range(self.session.out.qsize())]

    def _report(self) -> None:
        self.queues.note_shortage(ShortageReport("s", "u", FULL_LOAD, False, 60.0))

    def test_gateways_hear_of_a_shortage_once_and_of_its_end(self) -> None:
        self.assertEqual(self._received(), [])
        self._report()
        short = RoomInForce((ServiceRoomState("s", True, {"u": 6}),))
        self.assertEqual(self._received(), [short])
        self.clock._now_ms += SEND_INTERVAL_MS
        self.assertEqual(self._received(), [])
        late = GatewaySession("late")
        self.broadcaster.send_initial_state(late)
        self.assertEqual(late.out.get_nowait(), short)
        self.clock._now_ms += PLENTY_MS
        list(self.queues.due())
        self.assertEqual(self._received(), [RoomInForce((ServiceRoomState("s", False, {}),))])

    # Guards against gateways that share no places after the next loss of their leader.
    def test_a_shortage_without_known_upstreams_is_not_told(self) -> None:
        self.serving.clear()
        self.queues.note_running(self.session, RunningCalls("s", {"u": 1}, 60.0, {"u": 6}))
        self.assertEqual(self._received(), [])
        self.serving.append("u")
        self.queues.note_running(self.session, RunningCalls("s", {"u": 1}, 60.0, {"u": 6}))
        self.assertEqual(self._received(), [RoomInForce((ServiceRoomState("s", True, {"u": 6}),))])

    # Guards against a call that waits for room which its service can't have in its time.
    def test_a_call_without_room_is_told_when_to_come_back(self) -> None:
        self._report()
        for at in range(60):
            self.queues.enqueue(_ask(at), self.session)
        answers = [one.answer for one in self.queues.due()]
        refused = [one for one in answers if not one.instance]
        self.assertEqual({one.reason for one in refused}, {NO_ROOM})
        self.assertEqual(len({one.retry_after_ms for one in refused}), len(refused))
        self.assertTrue(all(one.held for one in answers if one.instance))

    # Guards against a turn that a call holds although its client has left.
    def test_a_call_that_no_longer_waits_gives_back_its_turn(self) -> None:
        self._report()
        for at in range(20):
            self.queues.enqueue(_ask(at), self.session)
        given = [one.answer.number for one in self.queues.due() if one.answer.instance]
        self.assertGreater(self.queues.waiting, 0)
        for number in range(20):
            self.queues.end_turn(self.session, EndTurn(number, "", "withdrawn"))
        self.assertEqual(self.queues.use("s"), (0, 0, 6))
        self.assertGreaterEqual(len(given), 6)

    # Guards against a gateway that goes on asking for each call as it missed that there is plenty.
    def test_a_question_for_room_without_a_shortage_is_answered_by_plenty(self) -> None:
        limits = LimitRegistry(self.clock)
        coordinator = LimitCoordinator(
            limits,
            BackoffRegistry(self.clock),
            Placer(self.clock, limits),
            self.sessions,
            self.clock,
        )
        coordinator.queue_turn(self.session, dataclasses.replace(_ask(5), for_room=True))
        received = [self.session.out.get_nowait() for _ in range(self.session.out.qsize())]
        plenty = RoomInForce((ServiceRoomState("s", False, {}),))
        self.assertEqual(received, [plenty, AnswerTurn(5, "", 0, PLENTY)])

    def test_messages_are_read_as_they_were_sent(self) -> None:
        for msg in (
            EndTurn(1, "u", "done", 60.5, UpstreamLoad(1, 2, 6, 2.5)),
            EndTurn(2, "", "withdrawn"),
            ShortageReport("s", "u", None, True),
            RunningCalls("s", {"u": 2}, 60.0, {"u": 6}),
            RoomInForce((ServiceRoomState("s", True, {"u": 6}),)),
            _ask(3),
            AnswerTurn(3, "u", held=True),
        ):
            self.assertEqual(FLEET_CODEC.decode(FLEET_CODEC.encode(msg)), msg)


class TurnQuestionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(60_000)
        self.fleet = FleetClient("g", (), FleetKnowledge(DocumentJson(), self.clock), self.clock)
        self.fleet.connected = True

    def _sent(self) -> list[Any]:
        return [self.fleet._out.get_nowait() for _ in range(self.fleet._out.qsize())]

    # Guards against a place that is held until it expires since the client of its call left.
    async def test_a_call_that_is_cancelled_withdraws_its_question(self) -> None:
        asking = asyncio.ensure_future(self.fleet.questions.ask_turn(_ask, 800))
        await self.clock.settle()
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)
        asked, ended = self._sent()
        self.assertEqual(ended, EndTurn(asked.number, "", "withdrawn"))

    async def test_a_question_without_an_answer_is_withdrawn(self) -> None:
        asking = asyncio.ensure_future(self.fleet.questions.ask_turn(_ask, 100))
        await self.clock.advance(100 + TURN_TIMEOUT_MS)
        with self.assertRaises(LeaderLost):
            await asking
        self.assertIsInstance(self._sent()[1], EndTurn)
