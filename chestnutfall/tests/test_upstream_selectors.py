"""Selection of engines without a leader, and selection among plain upstreams.

Guards against two failures: a call to a plain service waits behind a hung upstream, or a call is
refused during an election although an engine holds its adapter.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
import unittest
from collections.abc import Callable, Iterable

from ..clock import ManualClock
from ..concurrency.known_room import KnownRoom
from ..concurrency.leaderless_room import LeaderlessRoom
from ..concurrency.messages import EndTurn, RoomInForce, ServiceRoomState
from ..concurrency.turn_messages import NO_ROOM, PLENTY, AnswerTurn
from ..concurrency.upstream_room import SLOWDOWN_FRESH_MS
from ..control.upstream_record import UpstreamRecord
from ..coordination.holdings_diff import holdings_change
from ..coordination.messages import PlaceStream, Release, UpstreamsChange, Withdraw
from ..forwarding.call import Call
from ..forwarding.engine_upstream_selector import LEADERLESS_WAIT_MS, EngineUpstreamSelector
from ..forwarding.fleet_client import FleetClient
from ..forwarding.fleet_knowledge import FleetKnowledge
from ..forwarding.leader_questions import LeaderLost, LeaderQuestions
from ..forwarding.place import NoPlace, Place, SelectionCriteria
from ..forwarding.plain_upstream_selector import PlainUpstreamSelector
from ..limits import DeclaredLimit
from ..placement import AdapterName, Grant, PlaceRequest, ReadyAdapter, Reject, RunOutcome
from ..placement.run_times import NO_TIMES
from ..platform.document_json import DocumentJson
from ..routes import Route, RouteKind, ServiceSpec, WeightedService
from ..signals import UpstreamLoad, UpstreamSignals
from ..signals.known_signals import KnownSignals
from .fakes.limit_parts import ScriptedTurns, known_signals

NAME = AdapterName("base", "a1")
ROUTE = Route("r", "h", "/", RouteKind.STREAM, 4000, 500, 1, (WeightedService("s", 1),), 2)


def _upstream(instance: str, data_centre: str = "dc") -> UpstreamRecord:
    return UpstreamRecord(instance, "s", f"127.0.0.1:{instance}", data_centre)


def _criteria(avoid: tuple[str, ...] = (), until_ms: int = 4000) -> SelectionCriteria:
    call = Call("id", "POST", "/x", "/x", "h", (), b"", 0, until_ms, NAME)
    return SelectionCriteria(call, ROUTE, ServiceSpec("s", None), avoid, until_ms)


class _Questions(LeaderQuestions):
    """Questions for places that get scripted answers; None and the end mean that there is none."""

    def __init__(
        self, fleet: FleetClient, clock: ManualClock, answers: Iterable[Grant | Reject | None]
    ) -> None:
        super().__init__(fleet, clock)
        self._answers = list(answers)
        self.asked: list[PlaceRequest | PlaceStream] = []

    async def place(self, asked: PlaceRequest | PlaceStream) -> Grant | Reject:
        self.asked.append(asked)
        answer = self._answers.pop(0) if self._answers else None
        if answer is None:
            raise LeaderLost("scripted")
        return answer


class _Fleet(FleetClient):
    """A client of a fleet with engines 1 and 2, whose leader answers from a script."""

    def __init__(self, clock: ManualClock, *answers: Grant | Reject | None) -> None:
        knowledge = FleetKnowledge(DocumentJson(), clock)
        knowledge.apply(UpstreamsChange((_upstream("1"), _upstream("2")), ()))
        super().__init__("g", (), knowledge, clock)
        self.questions = _Questions(self, clock, answers)
        self.sent: list[object] = []

    def hold(self, *held: ReadyAdapter) -> None:
        self.knowledge.apply(holdings_change(True, held))

    def send(self, msg: object) -> None:
        self.sent.append(msg)


class EngineUpstreamSelectorTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()

    def _selector(self, fleet: _Fleet) -> EngineUpstreamSelector:
        return EngineUpstreamSelector(fleet, known_signals(self.clock), self.clock, "g", "dc")

    async def test_without_a_leader_the_adapter_s_last_holders_are_used_in_turn(self) -> None:
        fleet = _Fleet(self.clock)
        fleet.hold(
            ReadyAdapter("1", NAME, 3), ReadyAdapter("2", NAME, 3), ReadyAdapter("gone", NAME, 3)
        )
        selector = self._selector(fleet)
        taken = [await selector.select(_criteria()) for _ in range(4)]
        self.assertEqual(sorted(one.upstream.instance for one in taken), ["1", "1", "2", "2"])
        self.assertEqual({one.version for one in taken}, {3})
        avoiding = await selector.select(_criteria(avoid=("1",)))
        self.assertEqual(avoiding.upstream.instance, "2")

    async def test_without_a_leader_an_engine_that_lacks_the_adapter_is_not_asked_again(
        self,
    ) -> None:
        fleet = _Fleet(self.clock)
        fleet.hold(ReadyAdapter("1", NAME, 3), ReadyAdapter("2", NAME, 3))
        selector = self._selector(fleet)
        criteria = dataclasses.replace(_criteria(), lacked_adapter=("1",))
        taken = [await selector.select(criteria) for _ in range(3)]
        self.assertEqual({one.upstream.instance for one in taken}, {"2"})

    # Guards against a call that another service's engine runs, since it holds an adapter of the
    # same name: adapters are named within their service.
    async def test_without_a_leader_an_engine_of_another_service_is_not_selected(self) -> None:
        fleet = _Fleet(self.clock)
        other = dataclasses.replace(_upstream("3"), service="other")
        fleet.knowledge.apply(UpstreamsChange((other,), ()))
        fleet.hold(ReadyAdapter("1", NAME, 3), ReadyAdapter("3", NAME, 3))
        selector = self._selector(fleet)
        taken = [await selector.select(_criteria()) for _ in range(4)]
        self.assertEqual({one.upstream.instance for one in taken}, {"1"})

    # Guards against a call that tries one engine after another while all are backing off.
    async def test_without_a_leader_an_engine_that_backs_off_is_not_selected(self) -> None:
        fleet = _Fleet(self.clock)
        fleet.hold(ReadyAdapter("1", NAME, 3), ReadyAdapter("2", NAME, 3))
        signals = known_signals(self.clock)
        selector = EngineUpstreamSelector(fleet, signals, self.clock, "g", "dc")
        signals.observe("1", UpstreamSignals(leaving=True), 0, succeeded=True)
        taken = [await selector.select(_criteria()) for _ in range(4)]
        self.assertEqual({one.upstream.instance for one in taken}, {"2"})

    # Guards against a further engine for a call that only certain engines may run.
    async def test_a_call_that_certain_engines_may_run_gets_these(self) -> None:
        fleet = _Fleet(self.clock, Grant("t", "1", 3, 0, 0))
        fleet.hold(ReadyAdapter("1", NAME, 3), ReadyAdapter("2", NAME, 3))
        selector = self._selector(fleet)
        criteria = dataclasses.replace(_criteria(avoid=("3",)), only=("2",))
        await selector.select(criteria)
        self.assertEqual([one.avoid for one in fleet.questions.asked], [("3", "1")])
        without_leader = [await selector.select(criteria) for _ in range(3)]
        self.assertEqual({one.upstream.instance for one in without_leader}, {"2"})

    async def test_without_leader_and_holder_it_waits_for_the_next_leader(self) -> None:
        fleet = _Fleet(self.clock, None, Grant("t", "1", 2, 0, 0))
        taking = asyncio.ensure_future(self._selector(fleet).select(_criteria()))
        await self.clock.advance(300)
        self.assertFalse(taking.done())
        fleet.connected = True
        fleet._connected_event.set()
        await self.clock.settle()
        self.assertEqual((await taking).upstream.instance, "1")

    async def test_it_is_refused_when_no_leader_comes(self) -> None:
        taking = asyncio.ensure_future(self._selector(_Fleet(self.clock)).select(_criteria()))
        await self.clock.advance(LEADERLESS_WAIT_MS + 10)
        with self.assertRaises(NoPlace) as raised:
            await taking
        self.assertGreater(raised.exception.retry_after_ms, 0)

    async def test_a_place_on_an_engine_that_left_is_given_back(self) -> None:
        fleet = _Fleet(self.clock, Grant("t", "gone", 2, 0, 0), Grant("t", "1", 2, 0, 0))
        taken = await self._selector(fleet).select(_criteria())
        self.assertEqual(taken.upstream.instance, "1")
        self.assertEqual([type(msg) for msg in fleet.sent], [Release])

    async def test_a_caller_that_leaves_withdraws_its_request(self) -> None:
        class _Silent(LeaderQuestions):
            async def place(self, asked: PlaceRequest | PlaceStream) -> Grant | Reject:
                return await asyncio.get_running_loop().create_future()

        fleet = _Fleet(self.clock)
        fleet.questions = _Silent(fleet, self.clock)
        taking = asyncio.ensure_future(self._selector(fleet).select(_criteria()))
        await self.clock.settle()
        taking.cancel()
        await asyncio.gather(taking, return_exceptions=True)
        self.assertEqual([type(msg) for msg in fleet.sent], [Withdraw])


class PlainUpstreamSelectorTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.upstreams = [_upstream("1"), _upstream("2")]
        self.selector = PlainUpstreamSelector(
            lambda service: self.upstreams,
            known_signals(self.clock),
            ScriptedTurns().ask,
            self.clock,
            "dc",
            random.Random(1),
        )

    async def _take(self) -> Place:
        return await self.selector.select(_criteria())

    async def test_calls_spread_over_equal_upstreams(self) -> None:
        taken = [(await self._take()).upstream.instance for _ in range(4)]
        self.assertEqual(sorted(taken), ["1", "1", "2", "2"])

    async def test_whether_another_upstream_could_take_a_call_is_known(self) -> None:
        self.assertTrue((await self._take()).has_other)
        avoiding = await self.selector.select(_criteria(avoid=("1",)))
        self.assertEqual((avoiding.upstream.instance, avoiding.has_other), ("2", False))
        self.upstreams.pop()
        self.assertFalse((await self._take()).has_other)

    async def test_a_load_that_others_made_counts(self) -> None:
        first = await self._take()
        reported = UpstreamLoad(running=5, waiting=3, max_running=6)
        self.selector.release(first, RunOutcome.DONE, NO_TIMES, reported)
        self.assertNotEqual((await self._take()).upstream.instance, first.upstream.instance)

    async def test_an_upstream_that_fails_is_left_and_tried_again_later(self) -> None:
        failing = (await self._take()).upstream.instance
        for _ in range(4):
            place = Place("x", _upstream(failing), 0)
            self.selector._state_of(place.upstream).own_requests += 1
            self.selector.release(place, RunOutcome.BROKEN, NO_TIMES, None)
        taken = {(await self._take()).upstream.instance for _ in range(5)}
        self.assertNotIn(failing, taken)
        await self.clock.advance(30_000)
        self.assertIn(failing, {(await self._take()).upstream.instance for _ in range(12)})

    # Guards against calls for a hung upstream until the first one that waits there has moved.
    async def test_an_upstream_that_is_silent_is_left_while_its_sends_go_on(self) -> None:
        place = await self._take()
        self.selector.note_silent(place)
        taken = {(await self._take()).upstream.instance for _ in range(5)}
        self.assertNotIn(place.upstream.instance, taken)
        self.assertFalse(self.selector._state_of(place.upstream).health.is_ejected(0))

    # Guards against work for an upstream whose host is busy with other work at this moment.
    async def test_an_upstream_that_is_slow_now_is_left_for_half_a_second(self) -> None:
        first = await self._take()
        slow = first.upstream.instance
        self.selector.release(first, RunOutcome.DONE, NO_TIMES, UpstreamLoad(1, 0, 6, 3.0))
        self.assertNotIn(slow, {(await self._take()).upstream.instance for _ in range(2)})
        await self.clock.advance(SLOWDOWN_FRESH_MS)
        self.assertIn(slow, {(await self._take()).upstream.instance for _ in range(4)})

    # Guards against new connections where another upstream serves as well on an open one.
    async def test_where_the_cost_is_the_same_the_open_connection_is_used(self) -> None:
        for open_to in ("1", "2"):
            selector = self._selector(has_open=lambda instance, to=open_to: instance == to)
            self.assertEqual((await selector.select(_criteria())).upstream.instance, open_to)

    # Guards against all gateways sending to the first of several equal upstreams.
    async def test_equal_upstreams_are_chosen_at_random(self) -> None:
        taken = set()
        for seed in range(10):
            selector = self._selector(seed=seed)
            taken.add((await selector.select(_criteria())).upstream.instance)
        self.assertEqual(taken, {"1", "2"})

    async def test_while_there_is_no_room_each_call_has_a_turn_and_ends_it(self) -> None:
        turns = ScriptedTurns(
            AnswerTurn(7, "2", held=True),
            AnswerTurn(8, "gone", held=True),
            AnswerTurn(9, "", 140, NO_ROOM),
        )
        ended: list[EndTurn] = []
        selector = self._selector(turns=turns, room=self._short_room(), end_turn=ended.append)
        place = await selector.select(_criteria(avoid=("2",)))
        self.assertEqual(place.upstream.instance, "2")
        await self.clock.advance(60)
        load = UpstreamLoad(6, 1, 6)
        selector.release(place, RunOutcome.DONE, NO_TIMES, load)
        self.assertEqual(ended, [EndTurn(7, "2", "done", 60.0, load)])
        with self.assertRaises(NoPlace):
            await selector.select(_criteria())
        self.assertEqual(ended[1], EndTurn(8, "gone", "withdrawn"))
        with self.assertRaises(NoPlace) as raised:
            await selector.select(_criteria())
        self.assertEqual((raised.exception.reason, raised.exception.retry_after_ms), (NO_ROOM, 140))

    # Guards against requests beyond a limit from gateways that use their share of the room.
    async def test_without_a_leader_a_share_of_the_room_keeps_to_limits(self) -> None:
        signals = known_signals(self.clock)
        for one in "12":
            signals.limits.observe(one, DeclaredLimit(1.0), 0, succeeded=True)
        selector = self._selector(room=self._short_room(), signals=signals)
        sent = 0
        for _ in range(40):
            taking = asyncio.ensure_future(selector.select(_criteria(until_ms=10_000)))
            await self.clock.advance(50)
            if taking.done():
                sent += 1
                selector.release(taking.result(), RunOutcome.DONE, NO_TIMES, None)
            taking.cancel()
            await asyncio.gather(taking, return_exceptions=True)
        self.assertLessEqual(sent, 4)  # half of two a second for two seconds, and one of each

    # Guards against a call that goes nowhere, or past a limit, as a shortage ends while it asks.
    async def test_a_service_that_has_plenty_by_now_is_used_as_usual(self) -> None:
        turns = ScriptedTurns(AnswerTurn(7, "", 0, PLENTY))
        selector = self._selector(turns=turns, room=self._short_room())
        self.assertIn((await selector.select(_criteria())).upstream.instance, ("1", "2"))

    def _short_room(self) -> KnownRoom:
        leaderless = LeaderlessRoom(lambda: 1, self.clock, random.Random(1))
        room = KnownRoom(lambda report: None, leaderless, self.clock)
        room.apply(RoomInForce((ServiceRoomState("s", True, {"1": 6, "2": 6}),)))
        return room

    def _selector(
        self,
        turns: ScriptedTurns | None = None,
        room: KnownRoom | None = None,
        signals: KnownSignals | None = None,
        end_turn: Callable[[EndTurn], None] = lambda ended: None,
        has_open: Callable[[str], bool] = lambda instance: False,
        seed: int = 1,
    ) -> PlainUpstreamSelector:
        return PlainUpstreamSelector(
            lambda service: self.upstreams,
            signals or known_signals(self.clock),
            (turns or ScriptedTurns()).ask,
            self.clock,
            "dc",
            random.Random(seed),
            room,
            end_turn,
            has_open,
        )

    # Guards against a further upstream for a call that only certain ones may run.
    async def test_a_call_that_certain_upstreams_may_run_gets_these(self) -> None:
        criteria = dataclasses.replace(_criteria(), only=("2",))
        taken = [await self.selector.select(criteria) for _ in range(4)]
        self.assertEqual({one.upstream.instance for one in taken}, {"2"})
        with self.assertRaises(NoPlace):
            await self.selector.select(dataclasses.replace(_criteria(), only=("gone",)))

    async def test_near_upstreams_go_first(self) -> None:
        self.upstreams = [_upstream("far", "other"), _upstream("near")]
        self.assertEqual((await self._take()).upstream.instance, "near")

    async def test_without_upstreams_it_is_refused(self) -> None:
        self.upstreams = []
        with self.assertRaises(NoPlace):
            await self._take()
