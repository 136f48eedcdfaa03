"""The bound on the repeats of all gateways together, also across failures and leader changes.

Engines fail some of their requests, and a failed call is sent once more if a repeat is left. With
too few repeats, callers get failures that another engine would have prevented; with too many, the
repeats overload the remaining engines.
"""

from __future__ import annotations

import asyncio
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from ..clock import ManualClock
from ..coordination.messages import AnswerRepeat, AskRepeat
from ..coordination.repeat_pool import POOL_SHARE, SAFETY_FACTOR, RepeatPool
from ..forwarding.fleet_client import FleetClient
from ..forwarding.fleet_knowledge import FleetKnowledge
from ..forwarding.leader_questions import REPEAT_TIMEOUT_MS
from ..forwarding.repeats import Repeats
from ..platform.document_json import DocumentJson
from ..settings.repeat_bounds import RepeatBounds
from .fakes.long_ago import LONG_AGO_MS

BOUNDS = RepeatBounds(0.2, 50, 10_000)
KILLS = 16
"""Times that each gateway is killed within one window."""


class _Fleet:
    """Gateways of one fleet under successive leaders."""

    def __init__(self, gateways: int, bounds: RepeatBounds = BOUNDS) -> None:
        self.clock = ManualClock()
        self._bounds = bounds
        self._rng = random.Random(1)
        self.gateways = [
            Repeats(bounds, lambda: gateways, self._borrow, self.clock, self._rng, LONG_AGO_MS)
            for _ in range(gateways)
        ]
        self.change_leader()

    def restart(self, gateway: int) -> None:
        """Kill a gateway and start it anew."""
        count = len(self.gateways)
        self.gateways[gateway] = Repeats(
            self._bounds, lambda: count, self._borrow, self.clock, self._rng, self.clock.now_ms()
        )

    def change_leader(self) -> None:
        self._pool = RepeatPool(self._bounds, self.clock)

    async def _borrow(self, service: str) -> bool:
        return self._pool.take(service)

    async def repeats_of(self, gateway: int, wanted: int, busy: bool = False) -> int:
        """Return how many of the wanted repeats a gateway gets now."""
        got = [await self.gateways[gateway].spend("s", busy) for _ in range(wanted)]
        return sum(got)


class RepeatsTest(unittest.IsolatedAsyncioTestCase):
    @given(st.lists(st.tuples(st.integers(0, 8), st.integers(0, 2_000)), max_size=60))
    def test_all_gateways_together_keep_the_bound_in_every_window(
        self, steps: list[tuple[int, int]]
    ) -> None:
        asyncio.run(self._run_steps(steps))

    async def _run_steps(self, steps: list[tuple[int, int]]) -> None:
        fleet = _Fleet(4)
        requests: list[int] = []
        repeats: list[int] = []
        for step, wait_ms in steps:
            fleet.clock._now_ms += wait_ms
            if step == 4:
                fleet.change_leader()
                continue
            if step > 4:
                fleet.restart(step - 5)
                continue
            fleet.gateways[step].note_request("s")
            requests.append(fleet.clock.now_ms())
            repeats += [fleet.clock.now_ms()] * await fleet.repeats_of(step, 60)
        for start_ms in repeats:
            window = range(start_ms, start_ms + BOUNDS.window_ms)
            allowed = BOUNDS.slack + BOUNDS.ratio * sum(
                start_ms - BOUNDS.window_ms <= at < window.stop for at in requests
            )
            self.assertLessEqual(sum(at in window for at in repeats), allowed)

    async def test_the_slack_goes_to_the_gateway_that_has_the_callers(self) -> None:
        # All callers come to one gateway, and their engines fail. With equal shares it would
        # have 33 of 300 repeats among 9 gateways, and one among 200, while the others need none.
        for gateways in (9, 200, 410):
            with self.subTest(gateways=gateways):
                fleet = _Fleet(gateways, RepeatBounds(0.0, 430, 10_000))
                await fleet.clock.advance(10_000)
                got = await fleet.repeats_of(0, 400)
                self.assertGreaterEqual(got, int(SAFETY_FACTOR * POOL_SHARE * 430))

    async def test_a_new_leader_waits_until_repeats_of_its_predecessor_are_out_of_the_window(
        self,
    ) -> None:
        # A leader grants all its repeats and is cut off. Its successor does not know of them.
        fleet = _Fleet(2, RepeatBounds(0.0, 40, 10_000))
        await fleet.clock.advance(10_000)
        self.assertEqual(await fleet.repeats_of(0, 50), 7 + 14)
        fleet.change_leader()
        await fleet.clock.advance(9_000)
        self.assertEqual(await fleet.repeats_of(0, 50), 0)
        await fleet.clock.advance(1_000)
        self.assertEqual(await fleet.repeats_of(0, 50), 7 + 14)

    # Guards against gateways that are killed again and again while engines fail, and have their
    # share of the slack anew at each start.
    async def test_gateways_that_are_killed_keep_the_bound(self) -> None:
        for gateways in (2, 9, 87, 410):
            with self.subTest(gateways=gateways):
                fleet = _Fleet(gateways, RepeatBounds(0.0, 58, 10_000))
                spent = [await fleet.repeats_of(at, 60) for at in range(gateways)]
                for _ in range(KILLS):
                    fleet.clock._now_ms += 600
                    for at in range(gateways):
                        spent.append(await fleet.repeats_of(at, 60))
                        fleet.restart(at)
                self.assertLessEqual(sum(spent), 58)

    # Guards against gateways that never get their share back.
    async def test_a_gateway_that_started_has_its_share_after_a_window(self) -> None:
        fleet = _Fleet(2, RepeatBounds(0.0, 40, 10_000))
        fleet.restart(0)
        self.assertEqual(await fleet.repeats_of(0, 50), 0)
        await fleet.clock.advance(9_000)
        self.assertIn(await fleet.repeats_of(0, 50), (2, 3))
        await fleet.clock.advance(10_000)
        self.assertEqual(await fleet.repeats_of(0, 50), 7 + 14)

    async def test_without_a_leader_each_gateway_has_its_own_share(self) -> None:
        fleet = _Fleet(2, RepeatBounds(0.0, 40, 10_000))
        self.assertEqual([await fleet.repeats_of(at, 50) for at in (0, 1)], [7, 7])

    async def test_with_full_upstreams_a_gateway_gets_at_most_its_share_of_repeats(self) -> None:
        # One of four plain upstreams is gone and the others are full. Each refused request that is
        # sent again takes capacity from another request, which is refused in turn.
        for gateways in (9, 200):
            with self.subTest(gateways=gateways):
                fleet = _Fleet(gateways, RepeatBounds(0.0, 430, 10_000))
                await fleet.clock.advance(10_000)
                got = await fleet.repeats_of(0, 400, busy=True)
                self.assertLessEqual(got, (1 - POOL_SHARE) * 430 / gateways)

    async def test_without_a_leader_two_hundred_gateways_have_their_share_together(self) -> None:
        # After a power loss on all hosts, calls arrive before their adapters are loaded. If shares
        # below one repeat were rounded down, no gateway could send a call again.
        for gateways in (9, 200, 410):
            with self.subTest(gateways=gateways):
                fleet = _Fleet(gateways, RepeatBounds(0.0, 430, 10_000))
                got = sum([await fleet.repeats_of(at, 60) for at in range(gateways)])
                self.assertGreater(got, 0.85 * SAFETY_FACTOR * (1 - POOL_SHARE) * 430)
                self.assertLess(got, (1 - POOL_SHARE) * 430)

    async def test_repeats_of_one_service_take_nothing_from_another(self) -> None:
        fleet = _Fleet(1, RepeatBounds(0.0, 40, 10_000))
        await fleet.repeats_of(0, 50)
        self.assertTrue(await fleet.gateways[0].spend("other", upstream_is_busy=False))


class LeaderRepeatTest(unittest.IsolatedAsyncioTestCase):
    """A gateway asks the leader for one repeat."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.client = FleetClient("g", (), FleetKnowledge(DocumentJson(), self.clock), self.clock)

    async def test_without_a_leader_there_is_none(self) -> None:
        self.assertFalse(await self.client.questions.borrow_repeat("s"))

    async def test_each_answer_goes_to_its_own_question(self) -> None:
        self.client.connected = True
        asked = [asyncio.ensure_future(self.client.questions.borrow_repeat("s")) for _ in range(2)]
        await self.clock.settle()
        questions = [self.client._out.get_nowait() for _ in asked]
        self.assertEqual({one.service for one in questions if isinstance(one, AskRepeat)}, {"s"})
        for question, granted in zip(reversed(questions), (True, False), strict=True):
            self.client.on_message(AnswerRepeat(question.number, granted), "address")
        self.assertEqual([await one for one in asked], [False, True])

    async def test_a_silent_leader_grants_nothing(self) -> None:
        self.client.connected = True
        asked = asyncio.ensure_future(self.client.questions.borrow_repeat("s"))
        await self.clock.advance(REPEAT_TIMEOUT_MS + 1)
        self.assertFalse(await asked)
        self.client.on_message(AnswerRepeat(0, True), "address")
