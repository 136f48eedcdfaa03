"""A leader for which gateways have more requests than it has memory for."""

from __future__ import annotations

import unittest

from ..accounts import MemoryAccount
from ..control.control_state import ControlState
from ..control.upstream_record import UpstreamRecord
from ..coordination.gateway_duties import FULL
from ..coordination.messages import Release, Withdraw
from ..placement import AdapterName, Grant, PlaceRequest, PromptPart, Reject, RunOutcome
from .fakes.accounts import usual_memory
from .fakes.placing_leader import PlacingLeader
from .fakes.signalling_upstream import ENGINES, SignallingUpstream
from .fakes.stepped_clock import SteppedClock

CAPACITY = 512 * 1024
GATEWAYS = 20
REQUESTS = 10
"""Requests of each gateway; all together take ten times the capacity."""
ORDINARY = 100
"""Ordinary requests; they take two thirds of the capacity."""
PARTS = 64
ADAPTER = AdapterName("base", "a1")


class HeldRequestsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = SteppedClock()
        self.memory: MemoryAccount = usual_memory(self.clock, CAPACITY)
        self.engine = SignallingUpstream(UpstreamRecord("e1", ENGINES, "1:1", "dc"))
        self.leader = PlacingLeader(
            lambda: [self.engine], lambda order: None, ControlState(), self.clock, self.memory
        )
        self.gateways = [f"g{at}" for at in range(GATEWAYS)]
        for name in self.gateways:
            self.leader.add_gateway(name)
            self.leader.take_messages(name)

    def _ask(self, gateway: str, number: int, parts: int, adapter: AdapterName = ADAPTER) -> str:
        ticket = f"{gateway}/{number}"
        named = tuple(PromptPart(f"{ticket}.{at}", 10) for at in range(parts))
        req = PlaceRequest(ticket, ENGINES, adapter, 100, 40, named, 1, 60_000, 60_000, "dc")
        self.leader.handle(gateway, req)
        return ticket

    def _crowd(self) -> None:
        for number in range(REQUESTS):
            for name in self.gateways:
                self._ask(name, number, PARTS)

    def _answers(self, gateway: str, kind: type) -> list[str]:
        messages = self.leader.take_messages(gateway)
        return [msg.ticket for msg in messages if isinstance(msg, kind)]

    # Guards against a leader that ends by the requests that hundreds of gateways hold for it.
    async def test_requests_beyond_the_memory_are_refused(self) -> None:
        self._crowd()
        self.assertLessEqual(self.memory.held_bytes, CAPACITY)
        self.assertGreater(self.memory.held_bytes, CAPACITY // 2)
        refused = sum(len(self._answers(name, Reject)) for name in self.gateways)
        self.assertEqual(refused + self.leader.placer.waiting, GATEWAYS * REQUESTS)

    # Guards against ordinary requests that are refused while a crowd fills the leader's memory.
    async def test_ordinary_requests_find_room_beside_them(self) -> None:
        self._crowd()
        self.leader.take_messages("g0")
        asked = {self._ask("g0", REQUESTS + at, 3) for at in range(ORDINARY)}
        self.assertFalse(asked.intersection(self._answers("g0", Reject)))

    # Guards against a request that is refused as not run though its place was granted.
    async def test_a_request_with_a_place_never_gives_way(self) -> None:
        self.engine.holds[ADAPTER] = 1
        self.leader.update_upstreams()
        ticket = self._ask("g0", REQUESTS, PARTS)
        self.leader.decide()
        self.assertEqual(self._answers("g0", Grant), [ticket])
        self.clock.shift(60_000)
        self._crowd()
        self.assertNotIn(ticket, self._answers("g0", Reject))
        self.assertEqual(self.leader.placer.instance_of(ticket), "e1")

    # Guards against memory that stays drawn for requests that have ended.
    async def test_nothing_is_held_of_requests_that_ended(self) -> None:
        placed = self._ask("g0", 0, 3)
        left = self._ask("g0", 1, 3, AdapterName("base", "a2"))
        self._ask("g1", 2, 3, AdapterName("base", "a3"))
        self.leader.decide()
        self.leader.handle("g0", Release(placed, RunOutcome.DONE.value))
        self.leader.handle("g0", Withdraw(left))
        self.leader.remove_gateway("g1")
        self.assertEqual(self.memory.held_bytes, 0)

    async def test_a_refusal_says_that_the_leader_is_full(self) -> None:
        self._crowd()
        found = [msg for msg in self.leader.take_messages("g0") if isinstance(msg, Reject)]
        self.assertEqual({msg.reason for msg in found}, {FULL})
