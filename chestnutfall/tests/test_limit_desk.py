"""What the leader tells gateways of limits."""

from __future__ import annotations

import unittest

from ..clock import ManualClock
from ..control.upstream_record import UpstreamRecord
from ..coordination.gateway_session import GatewaySession
from ..coordination.gateway_sessions import GatewaySessions
from ..coordination.limit_desk import TELL_MS, LimitDesk
from ..limits.limit_book import LimitBook
from ..limits.messages import HeardLimit, LimitsInForce, RequestLimit
from ..placement.placer import Placer
from ..signals.backoff_book import BackoffBook


class LimitDeskTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(60_000)
        book = LimitBook(self.clock)
        self.sessions = GatewaySessions()
        placer = Placer(self.clock, book)
        backoffs = BackoffBook(self.clock)
        self.desk = LimitDesk(book, backoffs, placer, self.sessions, self.clock)
        self.desk.use(
            [UpstreamRecord("i", "s", "1:1", "dc"), UpstreamRecord("j", "s", "1:2", "dc")]
        )
        self.hearing, self.other = self._join("g1"), self._join("g2")

    def _join(self, name: str) -> GatewaySession:
        session = GatewaySession(name)
        self.sessions.add(session)
        self.desk.greet(session)
        return session

    def _told(self, session: GatewaySession) -> list[object]:
        return [session.out.get_nowait() for _ in range(session.out.qsize())]

    def _hear(self, per_s: float | None, asked_ago_ms: int = 0, heard_ago_ms: int = 0) -> None:
        self.desk.hear(self.hearing, HeardLimit("i", per_s, asked_ago_ms, heard_ago_ms))
        self.desk.carry_out()

    def test_every_gateway_is_told_of_a_limit_and_of_its_end(self) -> None:
        self._hear(3.0)
        limit = LimitsInForce((RequestLimit("i", 3.0),))
        self.assertEqual(self._told(self.other), [limit])
        self.assertEqual(self._told(self._join("late")), [limit])
        self.clock._now_ms += TELL_MS
        self._hear(None)
        self.assertEqual(self._told(self.other), [LimitsInForce((), ("i",))])
        self.assertEqual(self._told(self._join("later")), [])

    # Guards against a gateway that goes on by a limit whose end it missed.
    def test_a_gateway_that_tells_what_is_over_is_told_so(self) -> None:
        self._hear(3.0)
        self._hear(None)
        self.clock._now_ms += TELL_MS
        self.desk.carry_out()
        self._told(self.hearing)
        self.clock._now_ms += 5_000
        self._hear(3.0, 5_200, 5_150)
        self.assertIn(LimitsInForce((), ("i",)), self._told(self.hearing))

    def test_a_gateway_that_tells_an_old_figure_is_told_the_new_one(self) -> None:
        self.clock._now_ms += 5_000
        self._hear(3.0)
        self._told(self.hearing)
        self._hear(7.0, 900, 800)
        self.assertEqual(self._told(self.hearing), [LimitsInForce((RequestLimit("i", 3.0),))])

    # Guards against links that are filled by a limit which changes with each answer.
    def test_limits_that_change_all_the_time_are_told_ten_times_a_second(self) -> None:
        for at in range(1_000):
            self.clock._now_ms += 1
            self._hear(1.0 + at % 7)
        self.assertLessEqual(len(self._told(self.other)), 1_000 // TELL_MS + 1)
