"""What all gateways together send to upstreams that declare limits."""

from __future__ import annotations

import unittest
from collections.abc import Iterable

from ..platform.standin.limit_history import LimitHistory
from .fakes.limit_office import ENGINES, PLAIN, LimitOffice

MIN_USED = 0.9
"""Fraction of a limit that is used while callers ask for more; less because calls come unevenly."""
AT_ONCE_MS = 100
"""Bound for an immediate refusal; the queue checks each call several times within it."""
SERVICES = (ENGINES, PLAIN)
RATES = {ENGINES: 60.0, PLAIN: 60.0}


class _LimitedUpstream:
    """The limits that one upstream declares, and the requests it receives."""

    def __init__(self, office: LimitOffice, instance: str) -> None:
        self._office = office
        self.instance = instance
        self.history = LimitHistory()

    def declare(self, per_s: float, text: str = "") -> None:
        """Declare a limit from now on; `text` replaces the header's value."""
        self.history.note_limit(self._office.limit(self.instance, text or f"{per_s}"), per_s)

    @property
    def began_ms(self) -> int:
        """Clock time at which the first limit was declared."""
        return int(self.history.began_ms)

    def arrivals(self, excused: Iterable[str] = ()) -> list[int]:
        """Arrival times of requests, without those from `excused` gateways."""
        arrived = self._office.upstreams[self.instance].arrivals
        return [at_ms for at_ms, gateway in arrived if gateway not in excused]

    def used(self, from_ms: int) -> float:
        """Fraction of the current limit that was used since `from_ms`."""
        sent = sum(at_ms >= from_ms for at_ms in self.arrivals())
        per_s = self.history.announced[-1][1]
        return sent / (per_s * (self._office.clock.now_ms() - from_ms) / 1000)


class LimitsTogetherTest(unittest.IsolatedAsyncioTestCase):
    def _check(self, limits: _LimitedUpstream, excused: Iterable[str] = ()) -> None:
        found = list(limits.history.excesses(limits.arrivals(excused)))
        self.assertEqual(found, [], limits.instance)

    async def _limited(
        self, office: LimitOffice, per_s: float, text: str = "", count: int = 1
    ) -> list[_LimitedUpstream]:
        """Let `count` upstreams of each service declare a limit after two seconds of load."""
        self.addAsyncCleanup(office.stop)
        await office.play(2_000, RATES)
        found = [_LimitedUpstream(office, f"{one}-{at}") for one in SERVICES for at in range(count)]
        for limits in found:
            limits.declare(per_s, text)
        return found

    # Guards against a limit that each gateway respects but all of them together exceed.
    async def test_any_number_of_gateways_keeps_a_limit_and_uses_it(self) -> None:
        for gateways in (1, 9, 91, 195, 410):
            with self.subTest(gateways):
                office = LimitOffice(gateways)
                found = await self._limited(office, 7.0)
                await office.play(9_000, RATES)
                for limits in found:
                    self._check(limits)
                    self.assertGreaterEqual(limits.used(limits.began_ms + 2_000), MIN_USED)
                self.assertEqual(office.refused, [])

    # Guards against a limit that is used in full only if calls arrive at all gateways.
    async def test_callers_at_one_gateway_of_many_get_what_the_limit_allows(self) -> None:
        office = LimitOffice(91)
        found = await self._limited(office, 7.0, count=3)
        await office.play(9_000, RATES, ["g5"])
        for limits in found:
            self._check(limits)
            self.assertGreaterEqual(limits.used(limits.began_ms + 2_000), MIN_USED)

    # Guards against keeping to the first limit after an upstream declares others.
    async def test_limits_that_fall_to_a_third_and_rise_again(self) -> None:
        office = LimitOffice(9)
        found = await self._limited(office, 9.0)
        for per_s in (3.0, 1.0, 6.0, 2.0, 12.0):
            await office.play(4_000, RATES)
            for limits in found:
                limits.declare(per_s)
        await office.play(6_000, RATES)
        for limits in found:
            self._check(limits)
            self.assertGreaterEqual(
                limits.used(int(limits.history.announced[-1][0]) + 1_500), MIN_USED
            )

    # Guards against upstreams that get no requests after their limit ended.
    async def test_a_limit_that_ended_holds_nobody_back(self) -> None:
        office = LimitOffice(9)
        found = await self._limited(office, 2.0)
        await office.play(6_000, RATES)
        for limits in found:
            self._check(limits)
            office.limit(limits.instance, None)
        await office.play(1_500, RATES)
        ended_ms = office.clock.now_ms()
        await office.play(3_000, RATES)
        for limits in found:
            free = sum(at_ms >= ended_ms for at_ms in limits.arrivals())
            self.assertGreaterEqual(free, 30)  # a third of 60 per second, less unevenness

    # Guards against an upstream that accepts less than one request per second and receives none,
    # or a burst.
    async def test_limits_below_one_a_second(self) -> None:
        for per_s in (0.5, 0.25):
            with self.subTest(per_s):
                office = LimitOffice(9)
                found = await self._limited(office, per_s)
                await office.play(24_000, RATES)
                for limits in found:
                    self._check(limits)
                    self.assertGreaterEqual(limits.used(limits.began_ms + 8_000), 0.75)

    # Guards against an upstream with a limit of 0 that is never sent another request, so that the
    # end of the limit is not noticed.
    async def test_an_upstream_that_took_nothing_is_found_when_it_takes_work_again(self) -> None:
        office = LimitOffice(9)
        found = await self._limited(office, 0.0)
        await office.play(12_000, RATES)
        for limits in found:
            self._check(limits)
            office.limit(limits.instance, None)
        await office.play(7_000, RATES)
        for limits in found:
            late = sum(at_ms >= office.clock.now_ms() - 1_000 for at_ms in limits.arrivals())
            self.assertGreaterEqual(late, 10)

    # Guards against a header that is no number and removes a limit, or fails a gateway.
    async def test_an_unreadable_limit_neither_begins_nor_ends_a_limit(self) -> None:
        for text in ("none", "", "-3", "nan", "inf", "7,1", "1e999"):
            with self.subTest(text):
                office = LimitOffice(3)
                found = await self._limited(office, 7.0)
                await office.play(3_000, RATES)
                for limits in found:
                    office.limit(limits.instance, text)
                    office.limit(limits.instance.replace("-0", "-1"), text)
                await office.play(5_000, RATES)
                for limits in found:
                    self._check(limits)
                    free = office.upstreams[limits.instance.replace("-0", "-1")].arrivals
                    late = sum(at_ms >= office.clock.now_ms() - 3_000 for at_ms, _ in free)
                    self.assertGreaterEqual(late, 45)

    # Guards against repeats and resumed calls that are not counted against a limit.
    async def test_calls_that_are_sent_once_more_count_as_any_other(self) -> None:
        office = LimitOffice(9)
        office.fail_fraction = 0.5
        found = await self._limited(office, 7.0, count=3)
        await office.play(8_000, RATES)
        for limits in found:
            self._check(limits)

    # Guards against a new leader that starts without limits, or allows a full burst.
    async def test_leaders_that_change_just_after_a_limit_was_named_and_again(self) -> None:
        for gateways in (9, 195):
            with self.subTest(gateways):
                office = LimitOffice(gateways)
                found = await self._limited(office, 7.0)
                await office.play(40, RATES)
                for _ in range(6):
                    office.begin_leader()
                    await office.play(1_200, RATES)
                await office.play(4_000, RATES)
                for limits in found:
                    self._check(limits)
                    self.assertGreaterEqual(limits.used(office.clock.now_ms() - 3_000), MIN_USED)

    # Guards against a new leader that sends all waiting calls before a limit is reported to it.
    async def test_leaders_that_change_while_answers_are_slow(self) -> None:
        office = LimitOffice(9)
        office.head_ms = 500
        found = await self._limited(office, 7.0)
        await office.play(3_000, RATES)
        for _ in range(8):
            office.begin_leader()
            await office.play(700, RATES)
        for limits in found:
            self._check(limits)

    # Guards against gateways without a leader that each use the whole limit.
    async def test_gateways_without_a_leader_keep_a_limit_together(self) -> None:
        for gateways in (1, 9, 91, 410):
            with self.subTest(gateways):
                office = LimitOffice(gateways)
                found = await self._limited(office, 7.0, count=3)
                await office.play(3_000, RATES)
                office.lose_leader()
                await office.play(4_000, RATES)
                office.begin_leader()
                await office.play(4_000, RATES)
                for limits in found:
                    self._check(limits)

    # Guards against gateways that are cut off and send in addition to the leader's whole limit.
    async def test_gateways_that_are_cut_off_keep_a_limit_with_the_others(self) -> None:
        office = LimitOffice(20)
        found = await self._limited(office, 7.0)
        await office.play(3_000, RATES)
        for at in range(10):
            office.cut(f"g{at}")
        await office.play(8_000, RATES)
        for limits in found:
            self._check(limits)

    # Guards against a gateway that exceeds a limit after a restart, when it knows no limits.
    async def test_gateways_that_restart_keep_a_limit(self) -> None:
        office = LimitOffice(9)
        found = await self._limited(office, 5.0)
        for at in range(9):
            await office.play(900, RATES)
            office.restart(f"g{at}")
        await office.play(2_000, RATES)
        for limits in found:
            self._check(limits)

    # Guards against a frozen gateway whose unused grants reduce what the others may send.
    async def test_a_frozen_gateway_leaves_the_limit_to_the_others(self) -> None:
        office = LimitOffice(9)
        found = await self._limited(office, 7.0)
        office.gateways["g0"].frozen = True
        await office.play(3_000, RATES)
        office.cut("g0")  # its stream is silent and is closed
        others = [name for name in office.gateways if name != "g0"]
        thawed_ms = office.clock.now_ms() + 1_000
        await office.play(7_000, RATES, others)
        for limits in found:
            self._check(limits, excused=("g0",))
            self.assertGreaterEqual(limits.used(thawed_ms), MIN_USED)

    # Guards against calls that wait and are then refused, and against refused callers that all
    # retry at one moment.
    async def test_where_all_are_limited_the_rest_is_refused_at_once_and_told_when(self) -> None:
        office = LimitOffice(9)
        found = await self._limited(office, 5.0, count=3)
        await office.play(9_000, RATES)
        for limits in found:
            self._check(limits)
            self.assertGreaterEqual(limits.used(limits.began_ms + 2_000), MIN_USED)
        late = [one for one in office.refused if one.reason == "limited"]
        self.assertGreater(len(late), 0.9 * len(office.refused))
        self.assertGreaterEqual(sum(one.waited_ms <= AT_ONCE_MS for one in late), 0.9 * len(late))
        self.assertGreater(min(one.retry_after_ms for one in late), 0)
        self.assertGreater(len({one.retry_after_ms for one in late}), 30)

    # Guards against one organisation that uses all that limited upstreams allow.
    async def test_organisations_share_what_limited_upstreams_allow(self) -> None:
        for service in SERVICES:
            with self.subTest(service):
                office = LimitOffice(9)
                await self._limited(office, 5.0, count=3)
                office.served.clear()
                for _ in range(100):
                    await office.play(80, {service: 100.0}, organisation="hot")
                    await office.play(80, {service: 10.0}, organisation="usual")
                # 15 per second for both; the usual one asks for 5 on average, less than half.
                self.assertGreaterEqual(office.served["usual"], 0.9 * 5 * 16)
                self.assertGreaterEqual(office.served["hot"], 5 * 16)
