"""Ownership of engines, and the loss of the gateway that owns one.

A caller's stream breaks if a new owner evicts an adapter that a ticket of the old owner still uses,
or if new requests go to a leaving engine. The tests kill, freeze, cut off and shut down owners.
"""

from __future__ import annotations

import asyncio
import unittest

from ..engine_edge import OrderKind
from ..requests import Refusal
from .fakes.fake_office import FakeGateway, FakeOffice


class OwnershipTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.office = FakeOffice()
        await self.office.start(gateways=3, engines=1, slots=1)
        self.engine = self.office.engine()

    async def asyncTearDown(self) -> None:
        await self.office.stop()

    def _start(self, gateway: FakeGateway, model: str) -> asyncio.Task[list[bytes]]:
        return asyncio.ensure_future(gateway.answer(gateway.request(model)))

    async def test_new_owner_does_not_evict_what_an_old_ticket_uses(self) -> None:
        # The owner is killed while another gateway's long stream runs on its ticket. The new owner
        # does not know that ticket, and is asked for another adapter on the only slot.
        self.engine.tokens = 1500
        owner = self.office.owner()
        stream = self._start(self.office.other(owner), "a1@1")
        await self.office.clock.advance(1000)
        await owner.kill()
        await self.office.clock.advance(5000)
        successor = self.office.owner()
        self.assertIsNot(successor, owner)
        waiting = self._start(successor, "a2@1")
        await self.office.clock.advance(8000)
        self.assertEqual(self.engine.evicted_while_serving, 0)
        self.assertFalse(waiting.done())
        await self.office.clock.advance(8000)
        self.assertEqual((await self.office.done(stream))[-1], b"[DONE]")
        self.assertEqual((await self.office.done(waiting))[-1], b"[DONE]")

    async def test_tickets_of_a_dead_gateway_are_freed_when_nothing_of_it_runs(self) -> None:
        owner = self.office.owner()
        dead = self.office.other(owner)
        self.engine.tokens = 10_000
        lost = self._start(dead, "a1@1")
        await self.office.clock.advance(1000)
        await dead.kill()
        lost.cancel()
        await self.office.clock.advance(500)
        self.engine.running.clear()
        self.engine.tokens = 6
        req = owner.request("a2@1")
        events = await self.office.finish(owner.answer(req))
        self.assertEqual(events[-1], b"[DONE]")

    async def test_owner_that_was_frozen_sends_no_order_when_it_wakes(self) -> None:
        # The old owner freezes between its decision to load and the order. When it resumes,
        # another owner acts; an engine without fencing would carry out the orders of both.
        self.engine.checked = False
        owner = self.office.owner()
        waiting = self._start(owner, "a1@1")
        await self.office.clock.settle()
        owner.clock.freeze()
        await self.office.clock.advance(6000)
        self.assertIsNot(self.office.owner(), owner)
        held = dict(self.engine.adapters)
        self.assertEqual(held, {})
        acting = owner.engine_owners._owners["engine-0"][1]
        owner.clock.thaw()
        self.assertFalse(await acting._loader.order(OrderKind.LOAD, "a1@1"))
        await self.office.clock.advance(20)
        self.assertEqual(self.engine.adapters, {})
        await self.office.clock.advance(4000)
        waiting.cancel()

    async def _advance_with_one_acting(self, ms: int) -> None:
        for _ in range(0, ms, 5):
            await self.office.clock.advance(5)
            for engine in self.office.announced:
                acting = [
                    gateway.session
                    for gateway in self.office.gateways.values()
                    if gateway.agent.ownership_epoch(engine) is not None
                ]
                self.assertLessEqual(len(acting), 1, engine)

    async def test_owner_that_is_cut_off_stops_before_its_successor_begins(self) -> None:
        # The owner loses the controllers but still reaches the engine. It must stop by its own
        # clock; two owners would evict each other's adapters.
        owner = self.office.owner()
        owner.client.cut = True
        await self._advance_with_one_acting(5000)
        self.assertIsNot(self.office.owner(), owner)

    async def test_engines_move_to_a_new_gateway_without_two_owners(self) -> None:
        # A host joins and gets its share of engines. Each engine gets its new owner only after
        # the present one has confirmed that it stopped.
        for number in range(1, 6):
            self.office.add_engine(f"engine-{number}", 1)
        await self.office.clock.advance(3000)
        for number in range(3, 6):
            self.office.add_gateway(f"entry-{number}")
            await self._advance_with_one_acting(1700)
        owners = {one.owner for one in self.office.control.state.owners.values()}
        self.assertEqual(len(owners), 6)

    async def test_engine_that_checks_refuses_an_old_epoch(self) -> None:
        owner = self.office.owner()
        self.engine.epoch = 10**9
        task = self._start(owner, "a1@1")
        await self.office.clock.advance(2000)
        self.assertEqual(self.engine.adapters, {})
        task.cancel()

    async def test_owner_that_leaves_hands_over_at_once(self) -> None:
        # In a rolling restart callers must not wait for a lease to expire.
        owner = self.office.owner()
        entry = self.office.other(owner)
        await self.office.finish(entry.answer(entry.request("a1@1")))
        owner.agent.leaving = True
        await self.office.finish(owner.engine_owners.close())
        for _ in range(20):
            await self.office.clock.advance(50)
            self.assertEqual(list(owner.engine_owners.acting()), [])
        self.assertIsNot(self.office.owner(), owner)
        loads = self.engine.loads
        await self.office.finish(entry.answer(entry.request("a1@1")))
        self.assertEqual(self.engine.loads, loads, "the adapter was loaded again")

    async def test_engine_that_leaves_or_falls_silent_gets_no_new_work(self) -> None:
        for how in ("leaving", "silent", "drained"):
            with self.subTest(how=how):
                await self._stop_engine(how)
                await self.office.clock.advance(2000)
                before = len(self.engine.ran)
                for gateway in self.office.gateways.values():
                    with self.assertRaises(Refusal):
                        await self.office.finish(gateway.answer(gateway.request("a1@1")))
                self.assertEqual(len(self.engine.ran), before)
                await self._restart_engine()

    async def _stop_engine(self, how: str) -> None:
        if how == "leaving":
            self.office.announced["engine-0"] = (self.engine, "leaving")
        elif how == "silent":
            self.engine.reachable = False
        else:
            await self.office.control.change({"base": {"upstreams": {"engine-0": {"drain": True}}}})

    async def _restart_engine(self) -> None:
        self.office.announced["engine-0"] = (self.engine, "serving")
        self.engine.reachable = True
        await self.office.control.change({"base": {"upstreams": {"engine-0": None}}})
        await self.office.clock.advance(3000)

    async def test_work_in_progress_on_a_leaving_engine_ends_by_itself(self) -> None:
        self.engine.tokens = 300
        entry = self.office.gateway(0)
        stream = self._start(entry, "a1@1")
        await self.office.clock.advance(1000)
        self.office.announced["engine-0"] = (self.engine, "leaving")
        await self.office.clock.advance(5000)
        self.assertEqual((await self.office.done(stream))[-1], b"[DONE]")

    async def test_cold_adapter_gets_its_turn_although_a_hot_one_is_always_in_use(self) -> None:
        self.engine.tokens = 50
        owner = self.office.owner()
        tasks = []
        for number in range(40):
            tasks.append(self._start(owner, "a1@1"))
            if number == 5:
                cold = self._start(owner, "a2@1")
            await self.office.clock.advance(100)
        self.assertTrue(cold.done(), "the hot adapter is still in use and the cold one waits")
        self.assertEqual((await self.office.done(cold))[-1], b"[DONE]")
        for task in tasks:
            await self.office.done(task)

    async def test_engine_that_refuses_a_load_does_not_use_up_the_shared_permits(self) -> None:
        # The only slot is taken by a load that no gateway ordered. Immediate retries would leave
        # no load permits for other engines.
        self.engine.adapters["unknown@1+00"] = "loading"
        waiting = self._start(self.office.owner(), "a1@1")
        await self.office.clock.advance(5000)
        self.assertIn(self.engine.refused_orders, range(3, 8))
        self.engine.adapters.clear()
        self.assertEqual((await self.office.done(waiting))[-1], b"[DONE]")

    async def test_late_report_does_not_unload_what_was_loaded_meanwhile(self) -> None:
        # A report is requested before a load ends and arrives after it. If it were applied, it
        # would remove the slot, and with it the pins of tickets granted since.
        owner = self.office.owner()
        acting = owner.engine_owners._owners["engine-0"][1]
        first = self._start(owner, "a1@1")
        await self.office.clock.advance(100)
        self.engine.tokens = 100
        self.engine.faults["slow_state"] = 1
        late = asyncio.ensure_future(acting._refresh())
        await self.office.clock.advance(420)
        self.assertTrue(late.done())
        self.assertEqual(len(acting.view().ready), 1)
        await self.office.done(first)

    async def test_urgent_goes_first_and_the_lowest_class_is_shed_when_full(self) -> None:
        limits = {"limits": {"default": {"queue_per_engine": 2, "running_per_engine": 1}}}
        await self.office.control.change(
            {"base": {**limits, "callers": {"ana": {"highest_class": "urgent"}}}}
        )
        await self.office.clock.advance(1000)
        owner = self.office.owner()
        self.engine.tokens = 100
        first = self._start(owner, "a1@1")
        await self.office.clock.advance(600)
        late = [
            asyncio.ensure_future(owner.answer(owner.request("a1@1", X_Priority=kind)))
            for kind in ("overnight", "normal", "urgent")
        ]
        await self.office.clock.advance(10)
        with self.assertRaises(Refusal) as caught:
            await self.office.done(late[0])
        self.assertEqual(caught.exception.code, "queue_full")
        await self.office.done(first)
        await self.office.done(late[2])
        self.assertFalse(late[1].done())
        await self.office.done(late[1])
