"""All gateways connect to a new leader at once.

A gateway that gets no first message within a quarter of a second disconnects and connects again. If
each join and leave were sent to all gateways, that work would delay the first messages further, and
a quarter of the gateways would refuse callers for ten seconds although a leader serves the others.
"""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

from ..clock import ManualClock
from ..control.control_state import ControlState
from ..coordination.fleet_leader import FleetLeader
from ..coordination.gateway_session import GatewaySession
from ..coordination.leader_term import LeaderTerm
from ..coordination.messages import (
    FLEET_CODEC,
    Controllers,
    GatewayCount,
    UpstreamsPart,
    Withdraw,
)
from ..coordination.round_pace import MAX_PAUSE_MS, MIN_PAUSE_MS
from ..forwarding.first_message_timeouts import (
    INITIAL_TIMEOUT_MS,
    MAX_TIMEOUT_MS,
    FirstMessageTimeouts,
)
from ..forwarding.recent_gateways import REMEMBERED_MS, RecentGateways
from ..platform.document_json import DocumentJson
from ..settings.quota_bounds import STRICT_QUOTA_BOUNDS
from ..settings.repeat_bounds import RepeatBounds
from .fakes import FakeCluster
from .fakes.accepting_engines import AcceptingEngines
from .fakes.accounts import usual_memory

GATEWAYS = 40


class LeaderRushTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = FakeCluster(5, ("a", "b", "c"), ControlState)
        await self.cluster.bootstrap()
        replica = await self.cluster.leader()
        assert isinstance(replica.machine, ControlState)
        leader = FleetLeader(
            replica,
            replica.machine,
            DocumentJson(),
            AcceptingEngines(),
            self.cluster.clock,
            1000,
            RepeatBounds(0.2, 50, 10_000),
            STRICT_QUOTA_BOUNDS,
            usual_memory(),
        )
        self.task = replica.spawn(leader.run())
        await self.cluster.clock.advance(500)
        term = leader.leading()
        assert isinstance(term, LeaderTerm)
        self.term = term

    async def asyncTearDown(self) -> None:
        self.task.cancel()
        await self.cluster.stop()

    def _join(self, number: int) -> GatewaySession:
        session = GatewaySession(f"g{number}")
        self.term.add_gateway(session, -1)
        return session

    async def test_a_gateway_that_joins_and_leaves_causes_no_messages_to_others(self) -> None:
        first = self._join(0)
        self._drain(first)
        for number in range(1, GATEWAYS):
            self.term.remove_gateway(self._join(number))
        self.assertEqual(self._drain(first), [])

    async def test_a_grown_gateway_count_is_sent_soon(self) -> None:
        first = self._join(0)
        for number in range(1, GATEWAYS):
            self._join(number)
        await self.cluster.clock.advance(300)
        counts = [msg for msg in self._drain(first) if isinstance(msg, GatewayCount)]
        self.assertEqual(counts[-1], GatewayCount(GATEWAYS))
        self.assertLessEqual(len(counts), 4)

    async def test_the_first_message_is_short(self) -> None:
        # A document of a thousand routes takes a large part of a second on a gateway's link. If
        # it came first, the wait for the first message would time out.
        messages = self._drain(self._join(0))
        self.assertIsInstance(messages[0], Controllers)
        self.assertLess(len(FLEET_CODEC.encode(messages[0])), 1_000)
        self.assertTrue(any(isinstance(msg, UpstreamsPart) for msg in messages))

    async def test_rounds_grow_with_time_and_not_with_messages(self) -> None:
        """A round for each message took half of a core of a leader with 80 gateways."""
        session = self._join(0)
        await self.cluster.clock.advance(50)
        with mock.patch.object(self.term._placer, "decide", return_value=()) as decide:
            for at_ms in range(100):
                for number in range(10):
                    self.term.handle(session, Withdraw(f"t{at_ms}-{number}"))
                await self.cluster.clock.advance(1)
        self.assertGreaterEqual(decide.call_count, 100 // MAX_PAUSE_MS)
        self.assertLessEqual(decide.call_count, 100 // MIN_PAUSE_MS + 1)

    async def test_a_lone_message_is_decided_at_once(self) -> None:
        """Collecting from the first message on would delay each request of a quiet second."""
        session = self._join(0)
        await self.cluster.clock.advance(50)
        with mock.patch.object(self.term._placer, "decide", return_value=()) as decide:
            self.term.handle(session, Withdraw("t"))
            await self.cluster.clock.settle()
            self.assertEqual(decide.call_count, 1)

    @staticmethod
    def _drain(session: GatewaySession) -> list[Any]:
        found = []
        while not session.out.empty():
            found.append(session.out.get_nowait())
        return found


class FirstMessageTimeoutsTest(unittest.TestCase):
    def test_the_timeout_of_a_silent_controller_grows_until_it_sends_a_message(self) -> None:
        timeouts = FirstMessageTimeouts()
        waits = []
        for _ in range(6):
            waits.append(timeouts.timeout_ms("a"))
            timeouts.note_timeout("a")
        self.assertEqual(
            waits[:3], [INITIAL_TIMEOUT_MS, 2 * INITIAL_TIMEOUT_MS, 4 * INITIAL_TIMEOUT_MS]
        )
        self.assertEqual(waits[-1], MAX_TIMEOUT_MS)
        self.assertEqual(timeouts.timeout_ms("b"), INITIAL_TIMEOUT_MS)
        timeouts.note_message("a")
        self.assertEqual(timeouts.timeout_ms("a"), INITIAL_TIMEOUT_MS)


class RecentGatewaysTest(unittest.TestCase):
    def test_a_new_leader_that_counts_few_raises_no_share_of_the_budget(self) -> None:
        # After an election the leader counts only the first gateways to connect. If each of them
        # used that count, it would spend the slack of all gateways, and repeats would flood
        # upstreams.
        clock = ManualClock()
        recent = RecentGateways(clock)
        recent.note_count(90)
        clock._now_ms += REMEMBERED_MS // 2
        recent.note_count(1)
        self.assertEqual(recent.present, 90)
        clock._now_ms += REMEMBERED_MS
        recent.note_count(60)
        self.assertEqual(recent.present, 60)
