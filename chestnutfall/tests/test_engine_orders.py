"""Orders whose answers are lost and that engines carry out seconds later.

An engine that is ordered to load one adapter too many crashes with all its requests. This happens
if it leaves an order unanswered, takes the repeated order, and carries out the first one seconds
later. Each order names how many the engine took before it, so the late one is refused.
"""

from __future__ import annotations

import asyncio
import unittest

from ..clock import ManualClock
from ..control.upstream_record import UpstreamRecord
from ..coordination.engine_control import EngineControl, OrderResult
from ..coordination.engine_orders import EngineOrders
from ..placement import AdapterName, EngineReport, LoadAdapter, LoadModel, UnloadAdapter
from ..placement.holding import Holding
from ..placement.placer import Placer
from ..routes import EngineSpec, ModelSpec

SPEC = EngineSpec(4, 100_000, (ModelSpec("base", 50),), 60, 3, 5)


class _LateEngine(EngineControl):
    """Takes orders whose count matches.

    Attributes
    ----------
    taken : list of str
        Adapters that were ordered and taken, in order.
    calls : int
        Number of orders received; the sets below contain such numbers.
    unanswered : set of int
        Orders that are not answered and not taken until `carry_out_late`.
    busy : set of int
        Orders that are refused with a conflict.
    taken_unanswered : set of int
        Orders that are taken but not answered.
    unloading : str
        Adapter that is still held after its unload was taken.
    started_ms : int
        Start time in reports.
    too_many : bool
        Whether a load arrived while `unloading` was still held.
    late : list of (str, int)
        Adapters of unanswered orders with their counts.
    """

    def __init__(self) -> None:
        self.taken: list[str] = []
        self.calls = 0
        self.unanswered: set[int] = set()
        self.busy: set[int] = set()
        self.taken_unanswered: set[int] = set()
        self.unloading = ""
        self.started_ms = 0
        self.too_many = False
        self.late: list[tuple[str, int]] = []

    async def order(
        self,
        engine: UpstreamRecord,
        order: LoadAdapter | UnloadAdapter | LoadModel,
        fencing_token: int,
        orders_taken: int,
        within_ms: float,
    ) -> OrderResult:
        self.calls += 1
        if isinstance(order, UnloadAdapter):
            self.unloading = order.adapter.adapter
            self.taken.append("unload")
            return OrderResult.TAKEN
        assert isinstance(order, LoadAdapter)
        if self.unloading:
            self.too_many = True
        if self.calls in self.taken_unanswered:
            self.taken.append(order.adapter.adapter)
            return OrderResult.UNKNOWN
        if self.calls in self.unanswered:
            self.late.append((order.adapter.adapter, orders_taken))
            return OrderResult.UNKNOWN
        if self.calls in self.busy or orders_taken != len(self.taken):
            return OrderResult.CONFLICT
        self.taken.append(order.adapter.adapter)
        return OrderResult.TAKEN

    async def report(self, engine: UpstreamRecord) -> EngineReport:
        held = {AdapterName("base", name): 1 for name in (*self.taken, self.unloading)}
        return EngineReport({"base": 1}, held, {}, len(self.taken), self.started_ms)

    def carry_out_late(self) -> None:
        for name, orders_taken in self.late:
            if orders_taken == len(self.taken):
                self.taken.append(name)
        self.late.clear()


class EngineOrdersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.placer = Placer(self.clock)
        self.placer.engine_up("i1", "s", "dc", SPEC)
        self.engine = _LateEngine()
        record = UpstreamRecord("i1", "s", "127.0.0.1:1", "dc")
        self.orders = EngineOrders(
            record, self.engine, self.placer, self.clock, 7, lambda: True, lambda: None
        )
        self.running = asyncio.ensure_future(self.orders.run())
        await self.clock.advance(10)

    async def asyncTearDown(self) -> None:
        self.running.cancel()

    def _load(self, name: str) -> None:
        self.orders.submit(LoadAdapter("i1", AdapterName("base", name), 0))

    async def test_an_unanswered_order_is_repeated_and_runs_once(self) -> None:
        self.engine.unanswered = {1, 2}
        self._load("a1")
        self._load("a2")
        await self.clock.advance(100)
        self.engine.carry_out_late()
        self.assertEqual(self.engine.taken, ["a1", "a2"])

    async def test_an_unanswered_order_that_ran_is_found_in_the_report(self) -> None:
        self.engine.taken_unanswered = {1}
        self._load("a1")
        await self.clock.advance(1_000)
        self._load("a2")
        await self.clock.advance(1_000)
        self.assertEqual(self.engine.taken, ["a1", "a2"])
        self.assertIn(AdapterName("base", "a1"), self.placer.engines["i1"].holdings)
        self.assertTrue(self.placer.engines["i1"].synced)

    async def test_a_busy_engine_gets_the_order_again_without_a_report(self) -> None:
        self.engine.busy = {1, 2, 3}
        self._load("a1")
        await self.clock.advance(200)
        self.assertEqual(self.engine.taken, ["a1"])

    async def test_a_count_that_was_too_high_is_corrected(self) -> None:
        # If the count were not corrected, the engine would refuse every order and its reports would
        # always look older than the last one. Requests for adapters that it does not hold would
        # wait until they are refused.
        self.orders._orders_taken = 5
        self._load("a1")
        await self.clock.advance(2_000)
        self._load("a2")
        await self.clock.advance(500)
        self.assertEqual(self.engine.taken, ["a2"])

    async def test_an_unanswered_order_with_too_high_a_count_reserves_a_slot(self) -> None:
        # An order was answered as taken but not counted. The next one carries a count that the
        # engine has not reached; it is left unanswered and carried out once the count is reached.
        # That is one adapter too many, unless a slot is reserved for it.
        self.orders._orders_taken = 2
        self.engine.unanswered = {1}
        self._load("late")
        await self.clock.advance(2_000)
        engine = self.placer.engines["i1"]
        self.assertTrue(engine.has_stray_order)
        self.assertFalse(self._accepts_loads(SPEC.adapter_slots))
        self._load("a1")
        await self.clock.advance(100)
        self.assertTrue(engine.has_stray_order)
        self._load("a2")
        await self.clock.advance(100)
        self.assertFalse(engine.has_stray_order)
        self.assertTrue(self._accepts_loads(SPEC.adapter_slots))

    def _accepts_loads(self, held: int) -> bool:
        engine = self.placer.engines["i1"]
        now_ms = self.clock.now_ms()
        names = [AdapterName("base", f"held{number}") for number in range(held)]
        engine.holdings = {name: Holding(1, now_ms, confirmed=True) for name in names}
        return engine.can_load_more(now_ms)

    async def test_nothing_is_ordered_from_the_report_of_a_restarted_engine(self) -> None:
        # The engine crashed and restarted under its name, and has not announced that yet. Its
        # report shows free slots, and a count that started again. Orders with that count would be
        # based on the adapters of the earlier incarnation.
        self.engine.started_ms = 5
        self.placer.engines["i1"].synced = False
        self._load("a1")
        await self.clock.advance(2_000)
        self.assertEqual(self.engine.taken, [])
        self.assertFalse(self.placer.engines["i1"].synced)

    async def test_nothing_is_loaded_before_a_used_adapter_is_dropped(self) -> None:
        # An engine that is ordered to hold one adapter too many crashes with all its requests. It
        # drops an adapter only after the adapter's last requests end, and the leader does not know
        # of those that its predecessor placed.
        self.orders.submit(UnloadAdapter("i1", AdapterName("base", "old")))
        self._load("a1")
        await self.clock.advance(900)
        self.assertEqual(self.engine.taken, ["unload"])
        self.engine.unloading = ""
        await self.clock.advance(300)
        self.assertEqual(self.engine.taken, ["unload", "a1"])
        self.assertFalse(self.engine.too_many)
