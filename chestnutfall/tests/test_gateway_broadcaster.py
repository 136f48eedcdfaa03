"""Holdings that the leader sends to gateways, and their size.

With many gateways and engines with few adapter slots, adapters come and go all the time. What
gateways know of them decides whether callers are served while there is no leader, but each message
uses the link of every gateway.
"""

from __future__ import annotations

import random
import unittest
from typing import Any, cast

from ..clock import ManualClock
from ..control.control_state import ControlState
from ..coordination.gateway_broadcaster import HOLDINGS_INTERVAL_MS, GatewayBroadcaster
from ..coordination.gateway_session import GatewaySession
from ..coordination.gateway_sessions import GatewaySessions
from ..coordination.messages import FLEET_CODEC, HoldingsChange
from ..forwarding.holders import Holders
from ..placement import AdapterName, EngineReport
from ..placement.placer import Placer
from ..quota.quota_ledger import QuotaLedger
from ..routes import EngineSpec, ModelSpec
from ..settings.quota_bounds import STRICT_QUOTA_BOUNDS
from .fakes.accounts import usual_memory

ENGINES, SLOTS = 31, 7
SPEC = EngineSpec(8, 177_283, (ModelSpec("base", 50),), 66_000, SLOTS, 27)


class HoldingsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.placer = Placer(self.clock)
        self.sessions = GatewaySessions(usual_memory())
        self.session = GatewaySession("g1")
        self.sessions.add(self.session)
        self.holders = Holders()
        self.bytes = 0
        self.held = {
            f"e{at}": {self._name(at, slot): 1 for slot in range(SLOTS)} for at in range(ENGINES)
        }
        for engine in self.held:
            self.placer.engine_up(engine, "s", "dc", SPEC)
        self._start_leader()

    @staticmethod
    def _name(*parts: int) -> AdapterName:
        return AdapterName("base", "a" + "-".join(map(str, parts)))

    def _start_leader(self) -> None:
        self.broadcaster = GatewayBroadcaster(
            self.sessions,
            ControlState(),
            self.placer,
            QuotaLedger(STRICT_QUOTA_BOUNDS, self.clock),
            self.clock,
        )

    def _send(self, ms: int) -> None:
        for engine, held in self.held.items():
            self.placer.engine_reported(engine, EngineReport({"base": 1}, dict(held), {}, 0))
        self.clock._now_ms += ms
        self.broadcaster.send_due()
        while not self.session.out.empty():
            self._take(self.session.out.get_nowait())
        while self.session._bulk:
            self._take(self.session._bulk.popleft())

    def _take(self, msg: Any) -> None:
        if isinstance(msg, HoldingsChange):
            self.bytes += len(FLEET_CODEC.encode(msg))
            self.holders.apply(cast(HoldingsChange, FLEET_CODEC.decode(FLEET_CODEC.encode(msg))))

    def _known(self) -> int:
        return sum(
            any(held.instance == engine for held in self.holders.of(name))
            for engine, names in self.held.items()
            for name in names
        )

    def test_lasting_holdings_are_known_within_two_intervals(self) -> None:
        self._send(HOLDINGS_INTERVAL_MS)
        self._send(HOLDINGS_INTERVAL_MS)
        self.assertEqual(self._known(), ENGINES * SLOTS)

    def test_dropped_holdings_are_removed_after_one_interval(self) -> None:
        self._send(HOLDINGS_INTERVAL_MS)
        self._send(HOLDINGS_INTERVAL_MS)
        gone = self.held["e0"].popitem()[0]
        self._send(HOLDINGS_INTERVAL_MS)
        self.assertEqual(list(self.holders.of(gone)), [])

    def test_short_lived_holdings_take_few_bytes(self) -> None:
        # Each engine loads four adapters per second; two of its seven slots keep popular ones.
        rng = random.Random(1)
        self._send(HOLDINGS_INTERVAL_MS)
        self._send(HOLDINGS_INTERVAL_MS)
        self.bytes = 0
        for number in range(20_000, 20_040):
            for at, held in enumerate(self.held.values()):
                held.pop(rng.choice([name for name in held if name.adapter[-1] not in "01"]))
                held[self._name(number, at, 9)] = 1
            self._send(250)
        self.assertLess(self.bytes / 10, 2_500)
        self.assertGreaterEqual(self._known(), 2 * ENGINES)

    def test_a_new_leader_keeps_earlier_holdings_until_it_has_its_own(self) -> None:
        # Two leaders fail within a second. The holdings that the first one sent must stay known
        # while the second one, which has read no reports yet, leads.
        self._send(HOLDINGS_INTERVAL_MS)
        self._send(HOLDINGS_INTERVAL_MS)
        self._start_leader()
        self.broadcaster.send_initial_state(self.session, 0)
        self._send(HOLDINGS_INTERVAL_MS)
        self.assertEqual(self._known(), ENGINES * SLOTS)
        self.held["e0"].clear()
        self._send(HOLDINGS_INTERVAL_MS)
        self.assertEqual(self._known(), (ENGINES - 1) * SLOTS)
        self.assertEqual(len(list(self.holders.of(self._name(0, 0)))), 0)
