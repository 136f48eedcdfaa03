"""Which kept connection a request may use, and when one is closed; without a network."""

from __future__ import annotations

import unittest
from collections import Counter

from ..clock import ManualClock
from ..connections import ConnectionNeed, ConnectionPool, KeptConnection
from ..connections.connection_pool import (
    FORGET_MS,
    LOG_EVERY_MS,
    MAX_IDLE,
    MAX_REMEMBERED,
    OVER_LIMIT_RESET_MS,
)
from ..connections.connection_share import MAX_KEPT, kept_connections
from ..connections.idle_connection import IdleConnection
from ..connections.idle_time import FOUND_HOLDS_MS, FOUND_SLACK_MS, MAX_USED_MS
from ..connections.keep_alive_header import told_idle_ms
from ..connections.upstream_connections import OVER_LIMIT_MS, SUSPECT_MS

TOLD_MS = 10_000
ONCE_MS = 9_000
"""Idle time up to which a request that may run once uses a connection, with `TOLD_MS`."""


class FakeConnection(KeptConnection):
    """A connection that is quiet until told otherwise."""

    def __init__(self) -> None:
        self.quiet = True
        self.closed = False

    def is_quiet(self) -> bool:
        return self.quiet and not self.closed

    def close(self) -> None:
        self.closed = True


def _need(request: str = "new", instance: str = "i1", once: bool = True) -> ConnectionNeed:
    return ConnectionNeed(instance, "s", request, once)


class PoolCase(unittest.IsolatedAsyncioTestCase):
    """A pool with a share of four connections to each upstream."""

    def setUp(self) -> None:
        self.clock = ManualClock(1_000)
        self.counts: Counter[str] = Counter()
        self.share = 4
        self.pool = ConnectionPool(
            lambda service, instance: self.share,
            lambda name: self.counts.update([name]),
            self.clock,
        )
        self.requests = 0

    def keep(self, instance: str = "i1", told_ms: int | None = TOLD_MS) -> FakeConnection:
        """Keep a connection that has just answered a request of its own."""
        self.requests += 1
        conn, need = FakeConnection(), _need(f"kept{self.requests}", instance)
        self.pool.note_told(need, told_ms)
        self.pool.keep(conn, need, ())
        return conn

    def keep_idle(self, instance: str = "i1") -> tuple[FakeConnection, IdleConnection]:
        """Keep a connection and return what it is kept as, too."""
        conn, need = FakeConnection(), _need("kept", instance)
        self.pool.note_told(need, TOLD_MS)
        idle = self.pool.keep(conn, need, ())
        assert idle is not None
        return conn, idle

    def take(self, instance: str = "i1", once: bool = True) -> KeptConnection | None:
        idle = self.pool.take(_need("new", instance, once))
        return None if idle is None else idle.conn

    def count(self, name: str) -> int:
        return self.counts[f"upstream_connections_{name}"]


class ReuseTest(PoolCase):
    async def test_a_request_that_may_run_once_uses_a_kept_connection(self) -> None:
        conn = self.keep()
        self.assertTrue(self.pool.has_open("i1"))
        self.assertIs(self.take(), conn)
        self.assertIsNone(self.take())
        self.assertFalse(self.pool.has_open("i1"))
        self.assertEqual(self.count("reused"), 1)

    async def test_the_connection_that_was_idle_for_the_shortest_time_is_used(self) -> None:
        older = self.keep()
        await self.clock.advance(500)
        newer = self.keep()
        self.assertIs(self.take(), newer)
        self.assertIs(self.take(), older)

    # Guards against a request that is lost since the upstream closes its connection as it goes out.
    async def test_a_connection_is_not_used_near_the_end_of_its_idle_time(self) -> None:
        cases = ((10_000, 9_000, 9_000), (2_000, 1_200, 1_600), (1_000, 200, 600))
        for told_ms, once_ms, repeatable_ms in (*cases, (None, 200, 1_600)):
            for once, within_ms in ((True, once_ms), (False, repeatable_ms)):
                with self.subTest(told_ms=told_ms, once=once):
                    instance = f"{told_ms} {once}"
                    self.keep(instance, told_ms)
                    await self.clock.advance(within_ms + 1)
                    self.assertIsNone(self.take(instance, once))
                    conn = self.keep(instance, told_ms)
                    await self.clock.advance(within_ms)
                    self.assertIs(self.take(instance, once), conn)

    async def test_an_idle_time_below_the_margin_is_not_used(self) -> None:
        self.keep(told_ms=0)
        self.assertFalse(self.pool.has_open("i1"))
        self.assertIsNone(self.take())
        self.assertIsNone(self.take(once=False))

    async def test_a_long_idle_time_is_used_in_part(self) -> None:
        # A host between gateway and upstream forgets connections that are silent for minutes.
        self.keep(told_ms=3_600_000)
        await self.clock.advance(MAX_USED_MS + 1)
        self.assertIsNone(self.take(once=False))

    async def test_a_closed_connection_is_passed_over(self) -> None:
        # Guards against a request written to a connection on which an end of file, a reset or an
        # extra answer has arrived.
        good = self.keep()
        bad = self.keep()
        bad.quiet = False
        self.assertIs(self.take(), good)
        self.assertTrue(bad.closed)
        self.assertEqual(self.count("found_closed"), 1)

    async def test_no_connection_is_used_after_a_freeze_of_the_gateway(self) -> None:
        # The upstream closed them meanwhile; a cut may have kept its end of file away.
        self.keep()
        await self.clock.advance(60_000)
        self.assertIsNone(self.take())
        self.assertIsNone(self.take(once=False))

    async def test_a_successor_at_the_address_gets_no_connection_of_its_predecessor(self) -> None:
        self.keep("i1")
        self.assertIsNone(self.take("i2"))

    async def test_a_request_never_goes_to_a_connection_that_it_used_before(self) -> None:
        # An upstream refuses a request twice over. The second copy of the refusal would pass for
        # the answer to its next send, which runs: the caller would be told "not run".
        conn = FakeConnection()
        self.pool.note_told(_need("a"), TOLD_MS)
        self.pool.keep(conn, _need("a"), ())
        self.assertIsNone(self.pool.take(_need("a")))
        idle = self.pool.take(_need("b"))
        assert idle is not None
        self.pool.keep(conn, _need("b"), idle.request_ids)
        self.assertIsNone(self.pool.take(_need("a")))
        self.assertIsNotNone(self.pool.take(_need("c")))


class LearnedIdleTimeTest(PoolCase):
    # Guards against an upstream that closes connections sooner than it tells.
    async def test_a_time_found_shorter_than_told_is_used(self) -> None:
        _, idle = self.keep_idle()
        await self.clock.advance(3_000)
        self.pool.note_closed("i1", idle)
        self.assertEqual(self.count("found_closed"), 1)
        self.keep()
        await self.clock.advance(2_201)
        self.assertIsNone(self.take())
        self.assertIsNotNone(self.take(once=False))

    async def test_a_connection_that_stays_open_longer_ends_the_finding(self) -> None:
        # Guards against an upstream that resets a few connections and gets no reuse any more.
        _, idle = self.keep_idle()
        await self.clock.advance(100)
        self.pool.note_closed("i1", idle)
        self.keep()
        self.assertIsNone(self.take())
        await self.clock.advance(100 + FOUND_SLACK_MS + 1)
        self.pool.sweep()
        self.assertIsNotNone(self.take())

    async def test_a_finding_ends_after_a_time(self) -> None:
        _, idle = self.keep_idle()
        self.pool.note_closed("i1", idle)
        await self.clock.advance(FOUND_HOLDS_MS)
        self.keep()
        self.assertIsNotNone(self.take())

    async def test_bytes_that_arrive_tell_nothing_of_the_idle_time(self) -> None:
        conn, idle = self.keep_idle()
        self.pool.note_arrival("i1", idle)
        self.assertTrue(conn.closed)
        self.keep()
        self.assertIsNotNone(self.take())


class DoubtTest(PoolCase):
    """Connections that something between the two ends has forgotten all at once."""

    async def test_a_lost_answer_closes_the_connections_that_are_as_old(self) -> None:
        old = self.keep()
        await self.clock.advance(100)
        sent_ms = self.clock.now_ms()
        await self.clock.advance(100)
        later = self.keep()
        self.pool.note_lost(_need(), sent_ms, "lost")
        self.assertTrue(old.closed)
        self.assertFalse(later.closed)
        self.assertEqual(self.count("closed_idle"), 1)
        # The cause of one loss may be its request: new connections are reset just so.
        self.assertIs(self.take(), later)

    async def test_mixed_up_answers_close_the_connections_that_are_as_old(self) -> None:
        old = self.keep()
        self.pool.note_doubtful(_need(), self.clock.now_ms(), "extra answer")
        self.assertTrue(old.closed)

    async def test_a_second_loss_soon_after_makes_the_upstream_suspect(self) -> None:
        for wait_ms, is_open in ((0, True), (SUSPECT_MS, True), (SUSPECT_MS - 2, False)):
            await self.clock.advance(wait_ms)
            self.pool.note_lost(_need(), self.clock.now_ms(), "lost")
            await self.clock.advance(1)
            self.keep()
            self.assertEqual(self.pool.has_open("i1"), is_open, wait_ms)

    async def test_requests_that_may_run_once_open_connections_to_a_suspect(self) -> None:
        self.pool.note_doubtful(_need(), self.clock.now_ms(), "extra answer")
        await self.clock.advance(1)
        self.keep()
        self.assertIsNone(self.take())
        self.assertFalse(self.pool.has_open("i1"))
        self.assertIsNotNone(self.take(once=False))
        self.keep()
        await self.clock.advance(SUSPECT_MS)
        self.assertIsNotNone(self.take())

    async def test_two_silent_upstreams_make_all_connections_doubtful(self) -> None:
        # A gateway is cut off, or the host in front of it has lost all its connections. Each
        # upstream would cost one more request that can't be repeated.
        for instance in ("i1", "i2", "i3"):
            self.keep(instance)
        sent_ms = self.clock.now_ms()
        self.pool.note_unacknowledged(_need(instance="i1"), sent_ms)
        self.assertTrue(self.pool.has_open("i3"))
        self.pool.note_unacknowledged(_need(instance="i1"), sent_ms)
        self.assertTrue(self.pool.has_open("i3"))
        self.pool.note_unacknowledged(_need(instance="i2"), sent_ms)
        self.assertFalse(self.pool.has_open("i3"))
        self.assertEqual(len(self.pool), 0)

    async def test_silent_upstreams_far_apart_in_time_are_two_matters(self) -> None:
        self.pool.note_unacknowledged(_need(instance="i1"), self.clock.now_ms())
        await self.clock.advance(5_001)
        self.keep("i3")
        self.pool.note_unacknowledged(_need(instance="i2"), self.clock.now_ms())
        self.assertTrue(self.pool.has_open("i3"))

    async def test_log_lines_about_one_upstream_are_bounded(self) -> None:
        with self.assertLogs("chestnutfall.connections", "INFO") as logs:
            for _ in range(50):
                self.pool.note_lost(_need(), 0, "lost")
                self.pool.note_doubtful(_need(), 0, "extra answer")
            await self.clock.advance(LOG_EVERY_MS)
            self.pool.note_lost(_need(), 0, "lost")
        self.assertEqual(len(logs.output), 2)


class ShareTest(PoolCase):
    async def test_connections_beyond_the_share_are_closed_the_oldest_first(self) -> None:
        self.share = 2
        conns = [self.keep() for _ in range(3)]
        self.assertEqual([one.closed for one in conns], [True, False, False])
        self.share = 0
        self.assertTrue(self.keep().closed)

    async def test_the_sum_over_all_gateways_stays_below_the_limit(self) -> None:
        for gateways in (1, 9, 62, 80, 410, 2_000):
            for limit in (10, 110, 430, 630):
                with self.subTest(gateways=gateways, limit=limit):
                    for instance in ("i1", "i2"):
                        kept = [
                            kept_connections(limit, gateways, f"front-{at}", instance)
                            for at in range(gateways)
                        ]
                        self.assertLess(sum(kept), limit)
                        self.assertLessEqual(max(kept) - min(kept), 1)
        self.assertEqual(kept_connections(0, 80, "g", "i1"), MAX_KEPT)

    async def test_where_gateways_outnumber_connections_each_has_some_upstreams(self) -> None:
        upstreams = [f"i{at}" for at in range(48)]
        for gateway in ("g1", "g2", "g3"):
            kept = sum(kept_connections(110, 410, gateway, one) for one in upstreams)
            self.assertTrue(1 <= kept <= 20, kept)

    # Guards against gateways that hold idle connections while an upstream resets new ones.
    async def test_a_reset_over_the_limit_closes_idle_connections_and_keeps_fewer(self) -> None:
        conn = self.keep()
        opened_ms = self.clock.now_ms()
        await self.clock.advance(OVER_LIMIT_RESET_MS + 1)
        self.pool.note_reset(_need(), opened_ms)
        self.assertFalse(conn.closed)
        self.pool.note_reset(_need(), self.clock.now_ms())
        self.assertTrue(conn.closed)
        self.assertEqual(self.count("over_cap"), 1)
        self.assertEqual(sum(not self.keep().closed for _ in range(4)), 4)
        self.assertEqual(len(self.pool), 2)
        self.pool.note_over_limit(_need())
        self.assertEqual(len([self.keep() for _ in range(4)]), 4)
        self.assertEqual(len(self.pool), 1)
        await self.clock.advance(OVER_LIMIT_MS)
        for _ in range(4):
            self.keep()
        self.assertEqual(len(self.pool), 4)


class StateTest(PoolCase):
    async def test_idle_connections_are_closed_in_time(self) -> None:
        conn = self.keep()
        await self.clock.advance(ONCE_MS)
        self.pool.sweep()
        self.assertFalse(conn.closed)
        await self.clock.advance(1_000)
        self.pool.sweep()
        self.assertTrue(conn.closed)
        self.assertEqual(self.count("closed_idle"), 1)

    async def test_idle_connections_to_all_upstreams_are_bounded(self) -> None:
        # Guards against a gateway that runs out of file descriptors where upstreams are many.
        first = self.keep("first")
        await self.clock.advance(1)
        others = [self.keep(f"i{at}") for at in range(MAX_IDLE)]
        self.pool.sweep()
        self.assertEqual(len(self.pool), MAX_IDLE)
        self.assertTrue(first.closed)
        self.assertFalse(any(one.closed for one in others))

    async def test_upstreams_without_requests_are_forgotten(self) -> None:
        for at in range(3 * MAX_REMEMBERED):
            self.pool.note_told(_need(instance=f"i{at}"), TOLD_MS)
            await self.clock.advance(FORGET_MS // MAX_REMEMBERED)
        self.assertLessEqual(len(self.pool._upstreams), MAX_REMEMBERED + 2)

    async def test_after_close_answers_leave_no_connection_behind(self) -> None:
        # A gateway that drains: the last answers end after the pool was closed.
        idle = self.keep()
        self.pool.close()
        self.assertTrue(idle.closed)
        self.assertTrue(self.keep().closed)
        self.assertEqual(len(self.pool), 0)


class KeepAliveHeaderTest(unittest.TestCase):
    def test_the_time_is_read_strictly(self) -> None:
        cases = {
            "timeout=10": 10_000,
            "max=5, Timeout = 2": 2_000,
            'timeout="3"': 3_000,
            "timeout=0": 0,
            "timeout=-1": None,
            "timeout=1.5": None,
            "timeout=999999999": None,
            "timeout": None,
            "max=5": None,
            "": None,
        }
        for header, expected in cases.items():
            with self.subTest(header):
                self.assertEqual(told_idle_ms(header), expected)
        self.assertIsNone(told_idle_ms(None))
