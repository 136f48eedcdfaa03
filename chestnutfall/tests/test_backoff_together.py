"""Upstreams that ask for backoffs, with several gateways and their leader.

An overloaded upstream rejects a request and asks the gateway for no requests for some time. If
gateways ignore that, the upstream gets the next request at once from each of them, and calls are
refused because the budget of repeats is spent, while other upstreams are idle.
"""

from __future__ import annotations

import unittest
from collections import Counter

from .fakes.placing_office import STEP_MS
from .fakes.signal_office import ONCE, SignalOffice
from .fakes.signalling_upstream import ENGINES, PLAIN

RATES = {ENGINES: 60.0, PLAIN: 60.0}
MIN_SERVED = 0.98
AT_ONCE_MS = 5 * STEP_MS
"""Bound for an immediate refusal: a round trip to the leader and a wait for its next step."""
MAX_REJECTED_FRACTION = 0.03
"""Fraction of calls that may be rejected by an upstream while others are idle."""


class BackoffTogetherTest(unittest.IsolatedAsyncioTestCase):
    def _office(self, gateways: int = 3, engines: int = 3, plain: int = 3) -> SignalOffice:
        office = SignalOffice(gateways, engines, plain)
        self.addAsyncCleanup(office.stop)
        return office

    def _ask(self, office: SignalOffice, text: str | None, *instances: str) -> int:
        """Make upstreams reject all requests from now on; return the clock time."""
        for instance in instances or tuple(office.upstreams):
            office.upstreams[instance].backoff = text
        return office.clock.now_ms()

    def _rejected(self, office: SignalOffice) -> int:
        return sum(len(one.backoff_requests) for one in office.upstreams.values())

    def _check(self, office: SignalOffice, from_ms: int, least: float = MIN_SERVED) -> None:
        self.assertEqual(office.violations(), [])
        self.assertGreater(self._rejected(office), 0)
        for service in RATES:
            self.assertGreaterEqual(office.served(service, from_ms), least)

    # Guards against gateways, whatever their number, that ignore a backoff.
    async def test_any_number_of_gateways_respects_a_backoff_and_callers_lose_nothing(
        self,
    ) -> None:
        for gateways in (1, 9, 91, 195, 410):
            with self.subTest(gateways=gateways):
                office = self._office(gateways)
                await office.play(500, RATES)
                from_ms = self._ask(office, "3", f"{ENGINES}-0", f"{PLAIN}-0")
                await office.play(5_500, RATES)
                self._check(office, from_ms)
                asked = len(office.of(ENGINES, from_ms)) + len(office.of(PLAIN, from_ms))
                self.assertLessEqual(self._rejected(office), MAX_REJECTED_FRACTION * asked)

    async def test_several_upstreams_of_a_service_ask_for_backoff(self) -> None:
        office = self._office(9, engines=5, plain=5)
        await office.play(500, RATES)
        names = [f"{service}-{at}" for service in RATES for at in range(3)]
        from_ms = self._ask(office, "1.5", *names)
        await office.play(4_000, RATES)
        self._check(office, from_ms)

    # Guards against callers that wait until their deadline, or all retry at one moment.
    async def test_when_all_upstreams_back_off_callers_get_a_retry_time_at_once(self) -> None:
        office = self._office(9)
        await office.play(500, RATES)
        from_ms = self._ask(office, "3")
        await office.play(1_500, RATES)
        known_ms = from_ms + 700
        self.assertEqual(office.violations(), [])
        for service in RATES:
            refused = office.of(service, known_ms)
            self.assertEqual({one.reason for one in refused}, {"backing_off"})
            self.assertEqual({one.status for one in refused}, {503})
            self.assertLessEqual(max(one.took_ms for one in refused), AT_ONCE_MS)
            back_ms = [one.sent_ms + (one.retry_after_ms or 0) for one in refused]
            self.assertGreaterEqual(min(back_ms), from_ms + 3_000)
            self.assertLessEqual(max(back_ms), from_ms + 3_000 + 2 * 1_500)
            together = Counter(at_ms // 100 for at_ms in back_ms).most_common(1)[0][1]
            self.assertLess(together, 0.35 * len(refused))

    async def test_requests_are_sent_again_as_soon_as_the_backoff_is_over(self) -> None:
        office = self._office(9)
        await office.play(2_000, RATES)
        from_ms = self._ask(office, "2")
        await office.play(300, RATES)
        self._ask(office, None)
        await office.play(4_400, RATES)
        over_ms = from_ms + 300 + 2_000
        self._check(office, over_ms + 100, 0.99)
        # Afterwards no upstream is avoided: each gets its share again.
        for upstream in office.upstreams.values():
            moments = [at_ms for at_ms, _ in upstream.arrivals]
            before = sum(at_ms < from_ms for at_ms in moments)
            after = sum(over_ms + 400 <= at_ms < over_ms + 2_400 for at_ms in moments)
            self.assertGreaterEqual(after, 0.5 * before)

    # Guards against all gateways sending to an upstream at the moment its backoff ends.
    async def test_sends_ramp_up_after_the_end_of_a_backoff(self) -> None:
        office = self._office(91, engines=2)
        await office.play(500, {ENGINES: 200.0})
        self._ask(office, "1", f"{ENGINES}-0")
        await office.play(6_000, {ENGINES: 200.0})
        self.assertEqual(office.violations(), [])
        arrivals = office.upstreams[f"{ENGINES}-0"].arrivals
        moments = Counter(at_ms // 100 for at_ms, _ in arrivals if at_ms > 61_000)
        self.assertLessEqual(max(moments.values(), default=0), 8)

    # Guards against malformed or zero backoffs that hold calls back.
    async def test_a_malformed_or_zero_backoff_delays_no_call(self) -> None:
        for text in ("0", "soon", "-3", "nan", ""):
            with self.subTest(text):
                office = self._office(1, engines=1, plain=1)
                self._ask(office, text)
                await office.play(400, RATES)
                self._ask(office, None)
                from_ms = office.clock.now_ms()
                await office.play(800, RATES)
                for service in RATES:
                    self.assertGreaterEqual(office.served(service, from_ms), MIN_SERVED)

    async def test_decimals_of_a_second_and_a_day_are_kept(self) -> None:
        for text, ms in (("0.4", 400), ("86400", 86_400_000)):
            with self.subTest(text):
                office = self._office(2)
                await office.play(300, RATES)
                from_ms = self._ask(office, text, f"{ENGINES}-1", f"{PLAIN}-1")
                await office.play(3_000, RATES)
                self._check(office, from_ms, 0.9)
                self.assertEqual(
                    {
                        asked.for_ms
                        for one in office.upstreams.values()
                        for asked in one.backoff_requests
                    },
                    {ms},
                )

    # Guards against taking rejections without a proof that nothing ran for failures.
    async def test_refusals_without_proof_ask_for_backoff_as_well(self) -> None:
        office = self._office(3)
        await office.play(500, RATES)
        for one in (f"{ENGINES}-0", f"{PLAIN}-0"):
            office.upstreams[one].proves_not_run = False
        from_ms = self._ask(office, "1", f"{ENGINES}-0", f"{PLAIN}-0")
        await office.play(3_000, RATES)
        self._check(office, from_ms)

    async def test_429_asks_for_backoff_as_503_does(self) -> None:
        office = self._office(3)
        await office.play(500, RATES)
        for one in (f"{ENGINES}-0", f"{PLAIN}-0"):
            office.upstreams[one].rejection_status = 429
        from_ms = self._ask(office, "1", f"{ENGINES}-0", f"{PLAIN}-0")
        await office.play(3_000, RATES)
        self._check(office, from_ms)

    # Guards against repeating a non-idempotent call that the first upstream may have run.
    async def test_a_call_that_may_not_be_repeated_goes_on_only_after_a_proof(self) -> None:
        for proves in (True, False):
            with self.subTest(proves=proves):
                office = self._office(1, plain=2)
                office.upstreams[f"{PLAIN}-0"].proves_not_run = proves
                self._ask(office, "5", f"{PLAIN}-0")
                for _ in range(6):
                    office.call(ONCE, "g0")
                    await office.play(100, {})
                arrived = sum(len(one.arrivals) for one in office.upstreams.values())
                served = sum(one.status == 200 for one in office.finished)
                self.assertEqual(arrived, len(office.finished) + proves)
                self.assertEqual(served, len(office.finished) - (not proves))
                self.assertEqual(office.violations(), [])

    # Guards against spending repeats while no upstream accepts them.
    async def test_repeats_that_cannot_help_are_not_spent(self) -> None:
        office = self._office(1, engines=2, plain=2)
        await office.play(200, RATES)
        self._ask(office, "30")
        await office.play(4_000, RATES)
        for upstream in office.upstreams.values():
            self.assertEqual(len(upstream.backoff_requests), 1)
        self._ask(office, None, f"{PLAIN}-0")
        office.replace(f"{PLAIN}-0", f"{PLAIN}-new").backoff = None
        from_ms = office.clock.now_ms()
        await office.play(1_000, {PLAIN: 60.0})
        self.assertGreaterEqual(office.served(PLAIN, from_ms), MIN_SERVED)
        self.assertNotIn("repeats_over_budget", office.metrics.text())

    # Guards against refusing a call because its first choices asked for backoffs one by one.
    async def test_one_call_meets_several_upstreams_that_ask_for_backoff(self) -> None:
        office = self._office(1, engines=5, plain=5)
        names = [f"{service}-{at}" for service in RATES for at in range(4)]
        self._ask(office, "60", *names)
        for service in (ENGINES, PLAIN, ENGINES, PLAIN):
            office.call(service, "g0")
        await office.play(600, {})
        self.assertEqual([one.status for one in office.finished], [200] * 4)
        self.assertEqual(office.violations(), [])

    # Guards against using a placement that was granted before its upstream asked for a backoff.
    async def test_calls_that_wait_for_a_load_are_placed_anew(self) -> None:
        office = self._office(2, engines=2)
        office.adapters = [f"b{at}" for at in range(20)]
        await office.play(3_000, {ENGINES: 20.0})
        from_ms = self._ask(office, "2", f"{ENGINES}-0")
        await office.play(2_500, {ENGINES: 20.0})
        self.assertEqual(office.violations(), [])
        self.assertGreaterEqual(office.served(ENGINES, from_ms), 0.95)

    # Guards against holding back callers of an adapter whose only holder asked for a backoff.
    async def test_adapters_of_an_engine_that_backs_off_are_loaded_elsewhere_at_once(self) -> None:
        office = self._office(3, engines=2)
        for name, upstream in office.upstreams.items():
            upstream.holds = {} if name == f"{ENGINES}-1" else dict(upstream.holds)
        office.adapters = office.adapters[:4]  # an engine loads four at a time
        office.begin_leader()
        office.see()
        await office.play(300, {ENGINES: 30.0})
        from_ms = self._ask(office, "10", f"{ENGINES}-0")
        await office.play(2_000, {ENGINES: 30.0})
        self.assertEqual(office.violations(), [])
        found = office.of(ENGINES, from_ms)
        self.assertGreaterEqual(office.served(ENGINES, from_ms), MIN_SERVED)
        self.assertLess(max(one.took_ms for one in found), 500)

    # Guards against a shorter backoff replacing a longer one, as answers arrive in any order.
    async def test_the_latest_end_of_several_backoffs_holds(self) -> None:
        office = self._office(1, engines=2, plain=2)
        await office.play(200, RATES)
        names = (f"{ENGINES}-0", f"{PLAIN}-0")
        for text in ("2", "0.2", "1"):
            self._ask(office, text, *names)
            for _ in range(4):
                for service in (ENGINES, PLAIN):
                    office.call(service, "g0")
        await office.play(3_500, RATES)
        self._check(office, office.clock.now_ms() - 3_000)

    # Guards against a new leader that does not know the backoffs that its predecessor knew.
    async def test_leaders_that_change_during_a_backoff(self) -> None:
        for changes in (1, 4):
            with self.subTest(changes=changes):
                office = self._office(9)
                await office.play(500, RATES)
                from_ms = self._ask(office, "3", f"{ENGINES}-0", f"{PLAIN}-0")
                await office.play(40, RATES)
                for _ in range(changes):
                    office.begin_leader()
                    await office.play(700, RATES)
                await office.play(2_000, RATES)
                self._check(office, from_ms)

    # Guards against a gateway that ignores backoffs while it has no leader.
    async def test_without_a_leader_each_gateway_respects_a_backoff(self) -> None:
        office = self._office(3)
        await office.play(500, RATES)
        office.lose_leader()
        from_ms = self._ask(office, "2", f"{ENGINES}-0", f"{PLAIN}-0")
        await office.play(1_500, RATES)
        self._check(office, from_ms)
        self._ask(office, "2")
        await office.play(1_000, RATES)
        self.assertEqual(office.violations(), [])
        late = [one for one in office.finished if one.sent_ms > office.clock.now_ms() - 500]
        self.assertEqual({one.reason for one in late if one.status != 200}, {"backing_off"})
        self.assertLess(max(one.took_ms for one in late if one.status != 200), AT_ONCE_MS)

    async def test_gateways_that_are_cut_off_respect_a_backoff(self) -> None:
        office = self._office(4)
        await office.play(500, RATES)
        office.cut("g0")
        from_ms = self._ask(office, "2", f"{ENGINES}-0", f"{PLAIN}-0")
        await office.play(2_500, RATES)
        self._check(office, from_ms)

    # Guards against a restarted gateway that sends more than one request during a backoff.
    async def test_gateways_that_restart_learn_of_a_backoff_by_one_request(self) -> None:
        office = self._office(4)
        await office.play(500, RATES)
        from_ms = self._ask(office, "4", f"{ENGINES}-0", f"{PLAIN}-0")
        for at in range(4):
            await office.play(500, RATES)
            office.restart(f"g{at}")
        await office.play(1_500, RATES)
        for service in RATES:
            self.assertGreaterEqual(office.served(service, from_ms), MIN_SERVED)
        for upstream in office.upstreams.values():
            # Each of a gateway's two incarnations sends once, and once more if two calls are in
            # flight together.
            by = Counter(asked.gateway for asked in upstream.backoff_requests)
            self.assertLessEqual(max(by.values(), default=0), 4)

    # Guards against a frozen gateway that later uses placements that were granted long ago.
    async def test_a_gateway_that_was_frozen_does_not_use_old_grants_in_a_backoff(self) -> None:
        office = self._office(2)
        await office.play(500, RATES)
        office.gateways["g0"].frozen = True
        self._ask(office, "2", f"{ENGINES}-0", f"{PLAIN}-0")
        await office.play(600, RATES)
        office.gateways["g0"].frozen = False
        await office.play(1_500, RATES)
        self.assertEqual(office.violations(), [])

    # Guards against applying an upstream's signals to its successor at the same address.
    async def test_a_successor_at_the_same_address_does_not_inherit_a_backoff(self) -> None:
        office = self._office(3, engines=2, plain=2)
        await office.play(500, RATES)
        self._ask(office, "60", f"{ENGINES}-0", f"{PLAIN}-0")
        await office.play(500, RATES)
        for service in RATES:
            office.replace(f"{service}-0", f"{service}-new")
        await office.play(1_500, RATES)
        for service in RATES:
            arrivals = office.upstreams[f"{service}-new"].arrivals
            self.assertGreater(len(arrivals), 20)

    # Guards against losing one kind of signal when another arrives.
    async def test_backoffs_and_limits_at_the_same_time(self) -> None:
        office = self._office(9)
        await office.play(500, RATES)
        for service in RATES:
            office.limit(f"{service}-1", "10")
        from_ms = self._ask(office, "3", f"{ENGINES}-0", f"{PLAIN}-0")
        await office.play(5_000, RATES)
        self._check(office, from_ms)
        for service in RATES:
            late = [
                at for at, _ in office.upstreams[f"{service}-1"].arrivals if at > from_ms + 1000
            ]
            self.assertLessEqual(len(late), 1.5 * 10 * 4 + 5)
            self.assertGreater(len(late), 10)

    # Guards against one organisation using all capacity that is left during backoffs.
    async def test_organisations_share_what_is_left(self) -> None:
        office = self._office(3, engines=3)
        await office.play(500, {ENGINES: 30.0}, organisation="usual")
        from_ms = self._ask(office, "10", f"{ENGINES}-0", f"{ENGINES}-1")
        for _ in range(60):
            await office.play(40, {ENGINES: 400.0}, organisation="hot")
            await office.play(40, {ENGINES: 20.0}, organisation="usual")
        found = office.of(ENGINES, from_ms + 500)
        usual = [one for one in found if one.organisation == "usual"]
        self.assertGreaterEqual(sum(one.status == 200 for one in usual), 0.9 * len(usual))
        self.assertEqual(office.violations(), [])

    # Guards against a leader that grants sends to an upstream which asked that gateway to wait.
    async def test_grants_at_limited_upstreams_skip_gateways_asked_for_backoff(self) -> None:
        office = self._office(2, plain=2)
        await office.play(300, {PLAIN: 30.0})
        for at in range(2):
            office.limit(f"{PLAIN}-{at}", "15")
        await office.play(1_000, {PLAIN: 30.0})
        self._ask(office, "3", f"{PLAIN}-0")
        await office.play(4_000, {PLAIN: 30.0})
        self.assertEqual(office.violations(), [])
        self.assertGreater(len(office.upstreams[f"{PLAIN}-0"].backoff_requests), 0)
        # A granted send that can't be used is lost to other calls.
        self.assertNotIn("sends_held_back", office.metrics.text())
