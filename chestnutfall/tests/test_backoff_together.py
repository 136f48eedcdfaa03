"""Upstreams that ask for time, before gateways and their leader together.

An upstream in need turns a request away and says for how long it wants nothing more from that
gateway. Symptom where that is not obeyed: it gets the next request at once, from each gateway, and
callers are refused for want of repeats while other upstreams stand idle.
"""

from __future__ import annotations

import unittest
from collections import Counter

from .fakes.named_upstream import ENGINES, PLAIN
from .fakes.placing_office import STEP_MS
from .fakes.signal_office import ONCE, SignalOffice

RATES = {ENGINES: 60.0, PLAIN: 60.0}
SERVED = 0.98
AT_ONCE_MS = 5 * STEP_MS
"""A refusal goes to the leader and back, and waits for its next look."""
FEW = 0.03
"""Part of the calls that may meet an upstream that turns them away, while others are idle."""


class BackoffTogetherTest(unittest.IsolatedAsyncioTestCase):
    def _office(self, gateways: int = 3, engines: int = 3, plain: int = 3) -> SignalOffice:
        office = SignalOffice(gateways, engines, plain)
        self.addAsyncCleanup(office.stop)
        return office

    def _ask(self, office: SignalOffice, text: str | None, *instances: str) -> int:
        """Let upstreams turn all away from now on; the present time."""
        for instance in instances or tuple(office.upstreams):
            office.upstreams[instance].backoff = text
        return office.clock.now_ms()

    def _turned_away(self, office: SignalOffice) -> int:
        return sum(len(one.asked) for one in office.upstreams.values())

    def _check(self, office: SignalOffice, from_ms: int, least: float = SERVED) -> None:
        self.assertEqual(office.disobeyed(), [])
        self.assertGreater(self._turned_away(office), 0)
        for service in RATES:
            self.assertGreaterEqual(office.served(service, from_ms), least)

    # Guards against upstreams that ask for time and get the next request, however many gateways.
    async def test_any_number_of_gateways_leaves_one_in_peace_and_callers_lose_nothing(
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
                self.assertLessEqual(self._turned_away(office), FEW * asked)

    async def test_several_of_a_service_ask_for_time(self) -> None:
        office = self._office(9, engines=5, plain=5)
        await office.play(500, RATES)
        names = [f"{service}-{at}" for service in RATES for at in range(3)]
        from_ms = self._ask(office, "1.5", *names)
        await office.play(4_000, RATES)
        self._check(office, from_ms)

    # Guards against callers who wait for their deadline, or all come back in one moment.
    async def test_where_all_ask_for_time_callers_are_told_at_once_when_to_come_back(self) -> None:
        office = self._office(9)
        await office.play(500, RATES)
        from_ms = self._ask(office, "3")
        await office.play(1_500, RATES)
        known_ms = from_ms + 700
        self.assertEqual(office.disobeyed(), [])
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

    async def test_work_comes_back_as_soon_as_the_time_is_over(self) -> None:
        office = self._office(9)
        await office.play(2_000, RATES)
        from_ms = self._ask(office, "2")
        await office.play(300, RATES)
        self._ask(office, None)
        await office.play(4_400, RATES)
        over_ms = from_ms + 300 + 2_000
        self._check(office, over_ms + 100, 0.99)
        # Nobody is shunned afterwards: each upstream gets its part again.
        for upstream in office.upstreams.values():
            moments = [at_ms for at_ms, _ in upstream.arrivals]
            before = sum(at_ms < from_ms for at_ms in moments)
            after = sum(over_ms + 400 <= at_ms < over_ms + 2_400 for at_ms in moments)
            self.assertGreaterEqual(after, 0.5 * before)

    # Guards against all gateways that come back to an upstream in the moment its time is over.
    async def test_the_end_of_the_time_is_tried_before_all_come_back(self) -> None:
        office = self._office(91, engines=2)
        await office.play(500, {ENGINES: 200.0})
        self._ask(office, "1", f"{ENGINES}-0")
        await office.play(6_000, {ENGINES: 200.0})
        self.assertEqual(office.disobeyed(), [])
        arrivals = office.upstreams[f"{ENGINES}-0"].arrivals
        moments = Counter(at_ms // 100 for at_ms, _ in arrivals if at_ms > 61_000)
        self.assertLessEqual(max(moments.values(), default=0), 8)

    # Guards against time that is asked for as it should not be, and against none.
    async def test_what_is_no_time_holds_nobody_back(self) -> None:
        for text in ("0", "soon", "-3", "nan", ""):
            with self.subTest(text):
                office = self._office(1, engines=1, plain=1)
                self._ask(office, text)
                await office.play(400, RATES)
                self._ask(office, None)
                from_ms = office.clock.now_ms()
                await office.play(800, RATES)
                for service in RATES:
                    self.assertGreaterEqual(office.served(service, from_ms), SERVED)

    async def test_decimals_of_a_second_and_a_day_are_kept(self) -> None:
        for text, ms in (("0.4", 400), ("86400", 86_400_000)):
            with self.subTest(text):
                office = self._office(2)
                await office.play(300, RATES)
                from_ms = self._ask(office, text, f"{ENGINES}-1", f"{PLAIN}-1")
                await office.play(3_000, RATES)
                self._check(office, from_ms, 0.9)
                self.assertEqual(
                    {asked.for_ms for one in office.upstreams.values() for asked in one.asked},
                    {ms},
                )

    # Guards against refusals that prove nothing and are taken for an upstream's failure.
    async def test_refusals_without_proof_ask_for_time_as_well(self) -> None:
        office = self._office(3)
        await office.play(500, RATES)
        for one in (f"{ENGINES}-0", f"{PLAIN}-0"):
            office.upstreams[one].proves = False
        from_ms = self._ask(office, "1", f"{ENGINES}-0", f"{PLAIN}-0")
        await office.play(3_000, RATES)
        self._check(office, from_ms)

    async def test_429_asks_for_time_as_503_does(self) -> None:
        office = self._office(3)
        await office.play(500, RATES)
        for one in (f"{ENGINES}-0", f"{PLAIN}-0"):
            office.upstreams[one].turns_away_with = 429
        from_ms = self._ask(office, "1", f"{ENGINES}-0", f"{PLAIN}-0")
        await office.play(3_000, RATES)
        self._check(office, from_ms)

    # Guards against a call that is sent twice since its first upstream only asked for time.
    async def test_a_call_that_may_not_be_repeated_goes_on_only_after_a_proof(self) -> None:
        for proves in (True, False):
            with self.subTest(proves=proves):
                office = self._office(1, plain=2)
                office.upstreams[f"{PLAIN}-0"].proves = proves
                self._ask(office, "5", f"{PLAIN}-0")
                for _ in range(6):
                    office.call(ONCE, "g0")
                    await office.play(100, {})
                arrived = sum(len(one.arrivals) for one in office.upstreams.values())
                served = sum(one.status == 200 for one in office.ended)
                self.assertEqual(arrived, len(office.ended) + proves)
                self.assertEqual(served, len(office.ended) - (not proves))
                self.assertEqual(office.disobeyed(), [])

    # Guards against repeats that are spent where no upstream takes them.
    async def test_repeats_that_cannot_help_are_not_spent(self) -> None:
        office = self._office(1, engines=2, plain=2)
        await office.play(200, RATES)
        self._ask(office, "30")
        await office.play(4_000, RATES)
        for upstream in office.upstreams.values():
            self.assertEqual(len(upstream.asked), 1)
        self._ask(office, None, f"{PLAIN}-0")
        office.replace(f"{PLAIN}-0", f"{PLAIN}-new").backoff = None
        from_ms = office.clock.now_ms()
        await office.play(1_000, {PLAIN: 60.0})
        self.assertGreaterEqual(office.served(PLAIN, from_ms), SERVED)
        self.assertNotIn("repeats_over_budget", office.metrics.text())

    # Guards against a call that is refused since its first choices asked for time one by one.
    async def test_one_call_meets_several_that_ask_for_time(self) -> None:
        office = self._office(1, engines=5, plain=5)
        names = [f"{service}-{at}" for service in RATES for at in range(4)]
        self._ask(office, "60", *names)
        for service in (ENGINES, PLAIN, ENGINES, PLAIN):
            office.call(service, "g0")
        await office.play(600, {})
        self.assertEqual([one.status for one in office.ended], [200] * 4)
        self.assertEqual(office.disobeyed(), [])

    # Guards against places given before an upstream asked for time, and used after it.
    async def test_calls_that_wait_for_a_load_are_placed_anew(self) -> None:
        office = self._office(2, engines=2)
        office.adapters = [f"b{at}" for at in range(20)]
        await office.play(3_000, {ENGINES: 20.0})
        from_ms = self._ask(office, "2", f"{ENGINES}-0")
        await office.play(2_500, {ENGINES: 20.0})
        self.assertEqual(office.disobeyed(), [])
        self.assertGreaterEqual(office.served(ENGINES, from_ms), 0.95)

    # Guards against callers of an adapter whose only holder asked for time.
    async def test_adapters_of_one_that_asks_for_time_are_loaded_elsewhere_at_once(self) -> None:
        office = self._office(3, engines=2)
        for name, upstream in office.upstreams.items():
            upstream.holds = {} if name == f"{ENGINES}-1" else dict(upstream.holds)
        office.adapters = office.adapters[:4]  # an engine loads four at a time
        office.begin_leader()
        office.see()
        await office.play(300, {ENGINES: 30.0})
        from_ms = self._ask(office, "10", f"{ENGINES}-0")
        await office.play(2_000, {ENGINES: 30.0})
        self.assertEqual(office.disobeyed(), [])
        found = office.of(ENGINES, from_ms)
        self.assertGreaterEqual(office.served(ENGINES, from_ms), SERVED)
        self.assertLess(max(one.took_ms for one in found), 500)

    # Guards against answers that overtake each other, and a shorter time after a longer one.
    async def test_of_several_times_asked_for_the_last_end_holds(self) -> None:
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

    # Guards against a new leader that places calls where an old one knew better.
    async def test_leaders_that_change_meanwhile(self) -> None:
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

    # Guards against a gateway that forgets what it was asked while it has no leader.
    async def test_without_a_leader_each_gateway_keeps_to_it(self) -> None:
        office = self._office(3)
        await office.play(500, RATES)
        office.lose_leader()
        from_ms = self._ask(office, "2", f"{ENGINES}-0", f"{PLAIN}-0")
        await office.play(1_500, RATES)
        self._check(office, from_ms)
        self._ask(office, "2")
        await office.play(1_000, RATES)
        self.assertEqual(office.disobeyed(), [])
        late = [one for one in office.ended if one.sent_ms > office.clock.now_ms() - 500]
        self.assertEqual({one.reason for one in late if one.status != 200}, {"backing_off"})
        self.assertLess(max(one.took_ms for one in late if one.status != 200), AT_ONCE_MS)

    async def test_gateways_that_are_cut_off_keep_to_it(self) -> None:
        office = self._office(4)
        await office.play(500, RATES)
        office.cut("g0")
        from_ms = self._ask(office, "2", f"{ENGINES}-0", f"{PLAIN}-0")
        await office.play(2_500, RATES)
        self._check(office, from_ms)

    # Guards against one that knows nothing after its restart and harms more than once.
    async def test_gateways_that_restart_find_out_by_one_request(self) -> None:
        office = self._office(4)
        await office.play(500, RATES)
        from_ms = self._ask(office, "4", f"{ENGINES}-0", f"{PLAIN}-0")
        for at in range(4):
            await office.play(500, RATES)
            office.restart(f"g{at}")
        await office.play(1_500, RATES)
        for service in RATES:
            self.assertGreaterEqual(office.served(service, from_ms), SERVED)
        for upstream in office.upstreams.values():
            # Two lives of a gateway ask once each, and once more if two calls crossed.
            by = Counter(asked.gateway for asked in upstream.asked)
            self.assertLessEqual(max(by.values(), default=0), 4)

    # Guards against a frozen gateway that uses places it was given long ago.
    async def test_a_gateway_that_was_frozen_keeps_to_it_with_places_in_hand(self) -> None:
        office = self._office(2)
        await office.play(500, RATES)
        office.gateways["g0"].frozen = True
        self._ask(office, "2", f"{ENGINES}-0", f"{PLAIN}-0")
        await office.play(600, RATES)
        office.gateways["g0"].frozen = False
        await office.play(1_500, RATES)
        self.assertEqual(office.disobeyed(), [])

    # Guards against a process that is new at an address and gets no work for what another said.
    async def test_a_successor_at_the_same_address_does_not_inherit_it(self) -> None:
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

    # Guards against one word that is forgotten over another.
    async def test_beside_limits(self) -> None:
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

    # Guards against an organisation that takes what upstreams that ask for time left.
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
        self.assertEqual(office.disobeyed(), [])

    # Guards against a leader's word of a limit that crosses with what a gateway was asked.
    async def test_turns_at_limited_upstreams_skip_who_was_asked_for_time(self) -> None:
        office = self._office(2, plain=2)
        await office.play(300, {PLAIN: 30.0})
        for at in range(2):
            office.limit(f"{PLAIN}-{at}", "15")
        await office.play(1_000, {PLAIN: 30.0})
        self._ask(office, "3", f"{PLAIN}-0")
        await office.play(4_000, {PLAIN: 30.0})
        self.assertEqual(office.disobeyed(), [])
        self.assertGreater(len(office.upstreams[f"{PLAIN}-0"].asked), 0)
        # A turn that can't be used is one that somebody else does not get.
        self.assertNotIn("sends_held_back", office.metrics.text())
