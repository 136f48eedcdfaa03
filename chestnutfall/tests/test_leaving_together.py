"""Upstreams whose answers say that they are leaving, with several gateways and their leader.

They still answer, and announce themselves as ready. If gateways ignore the signal, they get work
until they end, and the requests that run there then are lost.
"""

from __future__ import annotations

import unittest

from .fakes.placing_office import STEP_MS
from .fakes.signal_office import HEAD_MS, SignalOffice
from .fakes.signalling_upstream import ENGINES, PLAIN

RATES = {ENGINES: 60.0, PLAIN: 60.0}
AT_ONCE_MS = 5 * STEP_MS
"""Bound for an immediate refusal: a round trip to the leader and a wait for its next step."""


class LeavingTogetherTest(unittest.IsolatedAsyncioTestCase):
    def _office(self, gateways: int = 3, engines: int = 3, plain: int = 3) -> SignalOffice:
        office = SignalOffice(gateways, engines, plain)
        self.addAsyncCleanup(office.stop)
        return office

    def _leave(self, office: SignalOffice, *instances: str) -> int:
        """Make upstreams say that they are leaving; return the clock time."""
        for instance in instances or tuple(office.upstreams):
            office.upstreams[instance].leaving = True
        return office.clock.now_ms()

    def _check(self, office: SignalOffice, from_ms: int) -> None:
        self.assertEqual(office.violations(), [])
        self.assertGreater(
            sum(len(one.leaving_answered_ms) for one in office.upstreams.values()), 0
        )
        for service in RATES:
            self.assertEqual(office.served(service, from_ms), 1.0)

    # Guards against sending work to leaving upstreams until they end.
    async def test_any_number_of_gateways_obeys_and_callers_lose_nothing(self) -> None:
        for gateways in (1, 9, 91, 195, 410):
            with self.subTest(gateways=gateways):
                office = self._office(gateways)
                await office.play(500, RATES)
                from_ms = self._leave(office, f"{ENGINES}-0", f"{PLAIN}-0")
                await office.play(3_000, RATES)
                self._check(office, from_ms)

    # Guards against each gateway having to learn of it from an answer of its own.
    async def test_the_others_learn_of_it_and_prefer_others(self) -> None:
        office = self._office(91)
        await office.play(500, RATES)
        from_ms = self._leave(office, f"{ENGINES}-0", f"{PLAIN}-0")
        await office.play(4_000, RATES)
        self._check(office, from_ms)
        for instance in (f"{ENGINES}-0", f"{PLAIN}-0"):
            late = [at for at, _ in office.upstreams[instance].arrivals if at > from_ms + 1_000]
            self.assertEqual(late, [])

    async def test_without_a_leader_each_gateway_obeys_by_itself(self) -> None:
        office = self._office(3)
        await office.play(500, RATES)
        office.lose_leader()
        from_ms = self._leave(office, f"{ENGINES}-0", f"{PLAIN}-0")
        await office.play(2_000, RATES)
        self._check(office, from_ms)

    async def test_a_gateway_that_is_cut_off_obeys_by_itself(self) -> None:
        office = self._office(3)
        await office.play(500, RATES)
        office.cut("g0")
        from_ms = self._leave(office, f"{ENGINES}-0", f"{PLAIN}-0")
        await office.play(2_000, RATES)
        self._check(office, from_ms)

    # Guards against a new leader that trusts the announcements of a leaving upstream.
    async def test_leaders_that_change_meanwhile(self) -> None:
        office = self._office(9)
        await office.play(500, RATES)
        from_ms = self._leave(office, f"{ENGINES}-0", f"{PLAIN}-0")
        for _ in range(4):
            await office.play(300, RATES)
            office.begin_leader()
        await office.play(1_500, RATES)
        self._check(office, from_ms)

    # Guards against a new leader that does not know what gateways learned before its term.
    async def test_each_new_leader_gets_the_reports(self) -> None:
        office = self._office(2, engines=2)
        await office.play(500, {ENGINES: 40.0}, ["g0"])
        self._leave(office, f"{ENGINES}-0")
        await office.play(500, {ENGINES: 40.0}, ["g0"])
        office.begin_leader()
        before = len(office.upstreams[f"{ENGINES}-0"].arrivals)
        await office.play(1_500, {ENGINES: 40.0}, ["g1"])
        self.assertEqual(len(office.upstreams[f"{ENGINES}-0"].arrivals), before)

    # Guards against cancelling the signal because later answers don't repeat it.
    async def test_the_signal_holds_for_the_whole_incarnation(self) -> None:
        office = self._office(3)
        await office.play(500, RATES)
        from_ms = self._leave(office, f"{ENGINES}-0", f"{PLAIN}-0")
        await office.play(500, RATES)
        for one in office.upstreams.values():
            one.leaving = False
        await office.play(3_000, RATES)
        self._check(office, from_ms)

    # Guards against applying an upstream's signals to its successor at the same address.
    async def test_a_successor_at_the_same_address_gets_work(self) -> None:
        office = self._office(3, engines=2, plain=2)
        await office.play(500, RATES)
        self._leave(office, f"{ENGINES}-0", f"{PLAIN}-0")
        await office.play(500, RATES)
        for service in RATES:
            office.replace(f"{service}-0", f"{service}-new")
        await office.play(1_500, RATES)
        for service in RATES:
            self.assertGreater(len(office.upstreams[f"{service}-new"].arrivals), 20)

    # Guards against callers that wait although no upstream is left to serve them.
    async def test_where_all_leave_callers_are_told_at_once_and_successors_serve_them(self) -> None:
        office = self._office(3, engines=2, plain=2)
        await office.play(500, RATES)
        from_ms = self._leave(office)
        await office.play(1_500, RATES)
        self.assertEqual(office.violations(), [])
        for service in RATES:
            # A gateway without the signal may still be served there.
            refused = [one for one in office.of(service, from_ms) if one.status != 200]
            self.assertGreater(len(refused), 50)
            self.assertEqual({one.reason for one in refused}, {"backing_off"})
            self.assertLessEqual(max(one.took_ms for one in refused), AT_ONCE_MS)
            self.assertLessEqual(max(one.retry_after_ms or 0 for one in refused), 2_000)
        for service in RATES:
            for at in range(2):
                office.replace(f"{service}-{at}", f"{service}-new-{at}")
        replaced_ms = office.clock.now_ms()
        await office.play(1_500, RATES)
        for service in RATES:
            self.assertGreaterEqual(office.served(service, replaced_ms), 0.99)

    # Guards against holding back callers of an adapter whose only holder is leaving.
    async def test_adapters_that_only_one_that_leaves_holds_are_loaded_elsewhere_at_once(
        self,
    ) -> None:
        office = self._office(3, engines=2)
        office.upstreams[f"{ENGINES}-1"].holds = {}
        office.adapters = office.adapters[:4]  # an engine loads four at a time
        office.begin_leader()
        office.see()
        await office.play(300, {ENGINES: 30.0})
        from_ms = self._leave(office, f"{ENGINES}-0")
        await office.play(1_500, {ENGINES: 30.0})
        self._check_engines(office, from_ms)
        self.assertEqual(set(office.upstreams[f"{ENGINES}-1"].holds), self._names(office))

    def _names(self, office: SignalOffice) -> set[object]:
        return set(list(office.upstreams[f"{ENGINES}-0"].holds)[:4])

    def _check_engines(self, office: SignalOffice, from_ms: int) -> None:
        self.assertEqual(office.violations(), [])
        found = office.of(ENGINES, from_ms)
        self.assertEqual(office.served(ENGINES, from_ms), 1.0)
        self.assertLess(max(one.took_ms for one in found), 500)

    # Guards against losing calls that wait for an adapter there when the signal arrives.
    async def test_calls_that_wait_there_are_placed_elsewhere(self) -> None:
        office = self._office(1, engines=2)
        office.upstreams[f"{ENGINES}-0"].holds = dict(
            list(office.upstreams[f"{ENGINES}-0"].holds.items())[:2]
        )
        office.upstreams[f"{ENGINES}-1"].holds = {}
        office.begin_leader()
        office.see()
        office.adapters = ["a0"]
        office.call(ENGINES, "g0")
        await office.play(40, {})
        office.adapters = ["a9", "a8"]
        for _ in range(4):
            office.call(ENGINES, "g0")
        self._leave(office, f"{ENGINES}-0")
        await office.play(1_500, {})
        self.assertEqual(office.violations(), [])
        self.assertEqual({one.status for one in office.finished}, {200})

    # Guards against breaking off streams because their engine is leaving.
    async def test_open_streams_end_well(self) -> None:
        office = self._office(3, engines=2)
        await office.play(500, RATES)
        office.apis["g0"].head_ms = 4 * HEAD_MS
        before_ms = office.clock.now_ms()
        await office.play(100, RATES)
        self._leave(office, f"{ENGINES}-0", f"{PLAIN}-0")
        await office.play(600, RATES)
        for service in RATES:
            self.assertEqual(office.served(service, before_ms), 1.0)

    # Guards against resuming runs at a leaving engine although others serve.
    async def test_runs_that_break_off_there_are_resumed_elsewhere(self) -> None:
        office = self._office(2, engines=3)
        await office.play(500, {ENGINES: 40.0})
        from_ms = self._leave(office, f"{ENGINES}-0")
        office.upstreams[f"{ENGINES}-0"].breaks_off = True
        await office.play(1_500, {ENGINES: 40.0})
        self.assertEqual(office.violations(), [])
        self.assertEqual(office.served(ENGINES, from_ms), 1.0)
        self.assertGreater(sum(one.resumed for one in office.upstreams.values()), 0)

    # Guards against losing calls that are in flight when the signal arrives, or counting them as
    # violations.
    async def test_calls_in_flight_with_the_signal_are_served(self) -> None:
        office = self._office(1, engines=2, plain=2)
        for service in RATES:
            for _ in range(6):
                office.call(service, "g0")
        self._leave(office, f"{ENGINES}-0", f"{PLAIN}-0")
        await office.play(800, {})
        self.assertEqual({one.status for one in office.finished}, {200})
        self.assertEqual(office.violations(), [])
