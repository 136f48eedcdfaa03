"""Engines that ask for backoffs or are leaving, on the native interface with several gateways."""

from __future__ import annotations

from collections import Counter
from typing import Any

from ..ownership import TicketRequest
from ..requests import Executed
from ..signals import UpstreamSignals
from .fakes.completion_case import CompletionCase
from .fakes.fake_engine import FakeEngine

MIN_SERVED = 0.98


class BackoffCompletionTest(CompletionCase):
    def _busiest(self) -> FakeEngine:
        return max((self.office.engine(at) for at in range(2)), key=lambda one: len(one.arrivals))

    def _check_one(self, engine: FakeEngine, for_ms: int) -> None:
        """Assert that each gateway is rejected once per backoff, and that no call is refused."""
        asked = [at_ms for at_ms in engine.turned_away]
        rounds = -(-(self.office.clock.now_ms() - asked[0]) // for_ms)
        # Calls that were already in flight with the first one are rejected as well.
        self.assertLessEqual(len(asked), 3 * rounds * len(self.office.gateways))
        self.assertEqual(self.refusals, [])

    # Guards against a gateway that ignores an engine's backoff and sends the next call at once.
    async def test_one_of_two_engines_gets_its_time_and_callers_lose_nothing(self) -> None:
        await self.office.start(gateways=3, engines=2)
        await self._load(1_000)
        engine = self._busiest()
        engine.backoff = "2"
        await self._load(5_000)
        self._check_one(engine, 2_000)
        engine.backoff = None
        await self._load(3_000)
        before = len(engine.arrivals)
        await self._load(3_000)
        self.assertGreater(len(engine.arrivals) - before, 0)

    # Guards against callers that wait until their deadline while all engines ask for a backoff.
    async def test_where_all_ask_for_time_callers_are_told_at_once(self) -> None:
        await self.office.start(gateways=2, engines=1)
        await self._load(1_000)
        self.office.engine().backoff = "3"
        await self._load(200)
        del self.refusals[:], self.refused_after_ms[:]
        await self._load(1_000)
        self.assertEqual({one.code for one in self.refusals}, {"backing_off"})
        self.assertEqual({one.status for one in self.refusals}, {503})
        self.assertEqual({one.executed for one in self.refusals}, {Executed.NO})
        self.assertEqual(max(self.refused_after_ms), 0)
        retry_after_ms = [one.retry_after_ms or 0 for one in self.refusals]
        self.assertGreaterEqual(min(retry_after_ms), 3_000 - 1_200)
        self.assertLessEqual(max(retry_after_ms), 6_000)
        self.office.engine().backoff = None
        await self._load(2_200)
        self.served = self.asked = 0
        await self._load(2_000)
        self.assertGreaterEqual(self.served, MIN_SERVED * self.asked - 5)

    # Guards against using a ticket that was granted before its engine asked for a backoff.
    async def test_a_ticket_in_hand_is_not_used_when_its_engine_asked_for_time(self) -> None:
        await self.office.start(gateways=1, engines=2)
        await self._load(400)
        engine = self._busiest()
        arrivals = len(engine.arrivals)
        gateway = self.office.gateway()
        name = next(
            up
            for up in gateway.registry.serving()
            if self.office.engines.by_address[up.address] is engine
        )
        acquire = gateway.links.acquire

        async def acquire_late(req: object) -> object:
            outcome = await acquire(req)  # type: ignore[arg-type]
            gateway.signals.observe(name.instance, engine.signals(503), 0, succeeded=False)
            return outcome

        engine.backoff = "5"
        gateway.links.acquire = acquire_late  # type: ignore[method-assign, assignment]
        self._begin(0)
        await self.office.clock.advance(3_000)
        self.assertEqual(len(engine.arrivals), arrivals)
        self.assertEqual((self.served, self.refusals), (self.asked, []))

    # Guards against sends to a leaving engine that still announces itself as ready.
    async def test_an_engine_that_says_that_it_leaves_gets_nothing_more(self) -> None:
        await self.office.start(gateways=3, engines=2)
        await self._load(1_000)
        engine = self._busiest()
        engine.leaving = True
        await self._load(400)
        arrivals = len(engine.arrivals)
        await self._load(4_000)
        self.assertEqual(len(engine.arrivals), arrivals)
        self.assertEqual((self.served, self.refusals), (self.asked - len(self.calls), []))

    # Guards against repeated ticket requests to an owner that does not know of the signal.
    async def test_an_engine_that_leaves_is_not_asked_for_whatever_its_owner_knows(self) -> None:
        await self.office.start(gateways=1, engines=2)
        await self._load(400)
        gateway = self.office.gateway()
        acquire, asked = gateway.links.acquire, Counter[str]()

        async def counted(req: TicketRequest) -> Any:
            asked.update([req.engine])
            return await acquire(req)

        gateway.links.acquire = counted  # type: ignore[method-assign, assignment]
        gateway.links.report_backoff = lambda engine, report: None  # type: ignore[method-assign]
        leaving = next(iter(gateway.registry.serving()))
        signals = UpstreamSignals(leaving=True)
        gateway.signals.observe(leaving.instance, signals, 0, succeeded=True)
        await self._load(1_000)
        self.assertEqual(asked[leaving.name], 0)
        self.assertGreater(sum(asked.values()), 0)

    # Guards against losing a run whose stream breaks while its engine is leaving.
    async def test_a_run_is_resumed_at_an_engine_that_leaves(self) -> None:
        await self.office.start(gateways=1, engines=1)
        await self._load(400)
        await self.office.clock.advance(2_000)  # all calls are served
        engine = self.office.engine()
        engine.leaving = True
        engine.faults["mid_reset"] = 1
        self._begin(0)
        await self.office.clock.advance(2_000)
        self.assertEqual(engine.resumed, 1)
        self.assertEqual(self.refusals, [])

    # Guards against resuming a run before the end of its engine's backoff.
    async def test_a_run_is_resumed_when_the_time_is_over(self) -> None:
        await self.office.start(gateways=1, engines=1)
        await self._load(400)
        await self.office.clock.advance(2_000)  # all calls are served
        engine = self.office.engine()
        gateway = self.office.gateway()
        up = next(iter(gateway.registry.serving()))
        engine.faults["mid_reset"] = 1
        self._begin(0)
        await self.office.clock.advance(10)
        engine.backoff = "0.4"
        gateway.signals.observe(up.instance, engine.signals(503), 0, succeeded=False)
        asked_ms = self.office.clock.now_ms()
        engine.backoff = None
        await self.office.clock.advance(2_000)
        self.assertEqual(engine.resumed, 1)
        self.assertGreaterEqual(engine.arrivals[-1], asked_ms + 400)
        self.assertEqual(self.refusals, [])

    # Guards against a stream that is broken off although its engine wants work before its deadline.
    async def test_a_run_is_resumed_after_a_time_longer_than_a_silence(self) -> None:
        engine = await self._begin_and_ask_for("3")
        asked_ms = self.office.clock.now_ms()
        await self.office.clock.advance(6_000)
        self.assertEqual((engine.resumed, self.refusals), (1, []))
        self.assertGreaterEqual(engine.arrivals[-1], asked_ms + 3_000)

    # Guards against a stream that waits for what is later than its own deadline.
    async def test_a_run_is_given_up_for_a_time_beyond_its_deadline(self) -> None:
        engine = await self._begin_and_ask_for("100")
        await self.office.clock.advance(2_000)
        self.assertEqual(engine.resumed, 0)
        self.assertEqual([refusal.code for refusal in self.refusals], ["backing_off"])

    async def _begin_and_ask_for(self, backoff: str) -> FakeEngine:
        """Begin a stream that will lose its connection, while its engine asks for time."""
        await self.office.start(gateways=1, engines=1)
        await self._load(400)
        await self.office.clock.advance(2_000)  # all calls are served
        engine = self.office.engine()
        gateway = self.office.gateway()
        up = next(iter(gateway.registry.serving()))
        engine.faults["mid_reset"] = 1
        self._begin(0)
        await self.office.clock.advance(10)
        engine.backoff = backoff
        gateway.signals.observe(up.instance, engine.signals(503), 0, succeeded=False)
        engine.backoff = None
        return engine

    # Guards against applying the signals of an earlier process to its successor of the same name.
    async def test_a_restarted_engine_gets_work(self) -> None:
        await self.office.start(gateways=2, engines=1)
        await self._load(400)
        engine = self.office.engine()
        engine.leaving = True
        await self._load(400)
        engine.leaving = False
        engine.restart_empty()
        await self._load(3_000)
        self.served = self.asked = 0
        await self._load(2_000)
        self.assertGreaterEqual(self.served, MIN_SERVED * self.asked - 5)
