"""Thousands of short calls that may run only once, from many small gateways.

A call used to open a connection of its own, since a kept one may close as it goes out; one call in
twenty found an open one. With few calls of each gateway to each upstream, a kept connection meets
its next call only after seconds.
"""

from __future__ import annotations

import heapq
import random
import unittest
from collections import Counter
from dataclasses import dataclass

from ..clock import ManualClock
from ..connections import ConnectionNeed, ConnectionPool
from ..connections.connection_share import KEPT_FRACTION, kept_connections
from ..connections.idle_connection import IdleConnection
from .test_connection_pool import TOLD_MS, FakeConnection

WARM_MS = 10_000
"""Start of the count; before, gateways open their first connections."""
END_MS = 22_000


@dataclass(frozen=True, slots=True)
class _Office:
    """Gateways, upstreams, and what callers send.

    Attributes
    ----------
    calls_per_s : float
        Calls of each gateway.
    plain_fraction : float
        Part of the calls that goes to plain upstreams.
    """

    gateways: int
    plain: int
    plain_limit: int
    engines: int
    engine_limit: int
    calls_per_s: float
    plain_fraction: float


class _Gateway:
    """A pool and the idle connections that it holds, by upstream."""

    def __init__(self, name: str, office: _Office, clock: ManualClock) -> None:
        self._clock = clock

        def share(service: str, instance: str) -> int:
            limit = office.plain_limit if service == "plain" else office.engine_limit
            return kept_connections(limit, office.gateways, name, instance)

        self.counts: Counter[str] = Counter()
        self.pool = ConnectionPool(share, lambda counted: self.counts.update([counted]), clock)

    def begin(self, need: ConnectionNeed) -> IdleConnection | None:
        return self.pool.take(need)

    def end(self, need: ConnectionNeed, used: IdleConnection | None) -> None:
        self.pool.note_told(need, TOLD_MS)
        conn = used.conn if used is not None else FakeConnection()
        self.pool.keep(conn, need, used.request_ids if used is not None else ())


class ManyGatewaysTest(unittest.TestCase):
    def test_seven_of_ten_calls_find_an_open_connection(self) -> None:
        cases = (
            _Office(62, 4, 430, 30, 630, 8.8, 0.36),
            _Office(80, 3, 540, 45, 590, 6.8, 0.27),
        )
        for office in cases:
            with self.subTest(gateways=office.gateways):
                found, sent, most_idle = self._play(office)
                self.assertGreaterEqual(found / sent, 0.7)
                for service, limit in (
                    ("plain", office.plain_limit),
                    ("engine", office.engine_limit),
                ):
                    self.assertLessEqual(most_idle[service], limit * KEPT_FRACTION)

    def _play(self, office: _Office) -> tuple[int, int, Counter[str]]:
        """Return the calls that found an open connection, all calls, and the most idle ones.

        Upstreams are drawn evenly, which is the worst case: calls for popular adapters meet again
        sooner.
        """
        rng = random.Random(1)
        clock = ManualClock()
        gateways = [_Gateway(f"front-{at}", office, clock) for at in range(office.gateways)]
        ends: list[tuple[int, int, _Gateway, ConnectionNeed, IdleConnection | None]] = []
        most_idle: Counter[str] = Counter()
        now_ms, number, found, sent = 0.0, 0, 0, 0
        swept_ms = 0
        while now_ms < END_MS:
            now_ms += rng.expovariate(office.gateways * office.calls_per_s / 1_000)
            while ends and ends[0][0] <= now_ms:
                end_ms, _, gateway, need, used = heapq.heappop(ends)
                clock._now_ms = end_ms
                gateway.end(need, used)
            clock._now_ms = int(now_ms)
            if now_ms - swept_ms > 1_000:
                swept_ms = int(now_ms)
                self._sweep(gateways, most_idle)
            number += 1
            gateway = rng.choice(gateways)
            need, run_ms = self._draw(office, rng, number)
            used = gateway.begin(need)
            if now_ms > WARM_MS:
                sent += 1
                found += used is not None
            heapq.heappush(ends, (int(now_ms + run_ms), number, gateway, need, used))
        return found, sent, most_idle

    def _draw(
        self, office: _Office, rng: random.Random, number: int
    ) -> tuple[ConnectionNeed, float]:
        if rng.random() < office.plain_fraction:
            instance = f"p{rng.randrange(office.plain)}"
            return ConnectionNeed(instance, "plain", str(number), True), rng.uniform(20, 120)
        instance = f"e{rng.randrange(office.engines)}"
        return ConnectionNeed(instance, "engine", str(number), True), rng.uniform(100, 500)

    def _sweep(self, gateways: list[_Gateway], most_idle: Counter[str]) -> None:
        idle: Counter[tuple[str, str]] = Counter()
        for gateway in gateways:
            gateway.pool.sweep()
            for instance, upstream in gateway.pool._upstreams.items():
                idle[upstream.service, instance] += len(upstream)
        for (service, _), count in idle.items():
            most_idle[service] = max(most_idle[service], count)
