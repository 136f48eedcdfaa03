"""Limits that the leader sends to gateways."""

from __future__ import annotations

import unittest

from ..clock import ManualClock
from ..control.upstream_record import UpstreamRecord
from ..coordination.gateway_session import GatewaySession
from ..coordination.gateway_sessions import GatewaySessions
from ..coordination.limit_coordinator import SEND_INTERVAL_MS, LimitCoordinator
from ..limits.limit_registry import LimitRegistry
from ..limits.messages import HeardLimit, LimitsInForce, RequestLimit
from ..placement.placer import Placer
from ..signals.backoff_registry import BackoffRegistry
from .fakes.accounts import usual_memory


class LimitCoordinatorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(60_000)
        limits = LimitRegistry(self.clock)
        self.sessions = GatewaySessions(usual_memory())
        placer = Placer(self.clock, limits)
        backoffs = BackoffRegistry(self.clock)
        self.coordinator = LimitCoordinator(limits, backoffs, placer, self.sessions, self.clock)
        self.coordinator.set_serving(
            [UpstreamRecord("i", "s", "1:1", "dc"), UpstreamRecord("j", "s", "1:2", "dc")]
        )
        self.reporter, self.other = self._join("g1"), self._join("g2")

    def _join(self, name: str) -> GatewaySession:
        session = GatewaySession(name)
        self.sessions.add(session)
        self.coordinator.send_initial_state(session)
        return session

    def _received(self, session: GatewaySession) -> list[object]:
        return [session.out.get_nowait() for _ in range(session.out.qsize())]

    def _record(self, per_s: float | None, asked_ago_ms: int = 0, heard_ago_ms: int = 0) -> None:
        self.coordinator.record_limit(
            self.reporter, HeardLimit("i", per_s, asked_ago_ms, heard_ago_ms)
        )
        self.coordinator.send_due()

    def test_every_gateway_receives_a_limit_and_its_end(self) -> None:
        self._record(3.0)
        limit = LimitsInForce((RequestLimit("i", 3.0),))
        self.assertEqual(self._received(self.other), [limit])
        self.assertEqual(self._received(self._join("late")), [limit])
        self.clock._now_ms += SEND_INTERVAL_MS
        self._record(None)
        self.assertEqual(self._received(self.other), [LimitsInForce((), ("i",))])
        self.assertEqual(self._received(self._join("later")), [])

    # Guards against a gateway that keeps applying a limit whose end it missed.
    def test_a_gateway_that_reports_an_ended_limit_is_corrected(self) -> None:
        self._record(3.0)
        self._record(None)
        self.clock._now_ms += SEND_INTERVAL_MS
        self.coordinator.send_due()
        self._received(self.reporter)
        self.clock._now_ms += 5_000
        self._record(3.0, 5_200, 5_150)
        self.assertIn(LimitsInForce((), ("i",)), self._received(self.reporter))

    def test_a_gateway_that_reports_an_old_limit_is_corrected(self) -> None:
        self.clock._now_ms += 5_000
        self._record(3.0)
        self._received(self.reporter)
        self._record(7.0, 900, 800)
        self.assertEqual(self._received(self.reporter), [LimitsInForce((RequestLimit("i", 3.0),))])

    # Guards against a limit that changes with each answer and floods the links to gateways.
    def test_limits_that_change_often_are_sent_ten_times_a_second(self) -> None:
        for at in range(1_000):
            self.clock._now_ms += 1
            self._record(1.0 + at % 7)
        self.assertLessEqual(len(self._received(self.other)), 1_000 // SEND_INTERVAL_MS + 1)
