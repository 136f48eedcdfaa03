"""One organisation that sends many times its usual, and all the others before the same engines.

In a storm week one large office asks for fifteen times its usual drafts. In order of arrival nearly
every place goes to it, and permit counters everywhere wait behind requests that nobody there sent.
"""

from __future__ import annotations

import heapq
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from ..clock import ManualClock
from ..placement import AdapterName, Grant, PlaceRequest, RunOutcome
from ..placement.placer import Placer
from ..quota.fair_share import FairShare
from ..routes import EngineSpec

OFFICES, PER_S, HOT_TIMES = 8, 16, 15
ENGINES, BATCH, RUN_MS, OBJECTIVE_MS = 4, 4, 100, 500
SPEC = EngineSpec(BATCH, 200_000, (), 0, 0, 1)
SECONDS, STEP_MS = 20, 4


def _in_time(hot: bool, told_apart: bool) -> list[float]:
    """The share of each office's requests that begin in time; the last office is the hot one."""
    rng, clock = random.Random(3), ManualClock()
    placer = Placer(clock)
    for at in range(ENGINES):
        placer.engine_up(f"e{at}", "s", "dc", SPEC)
        placer.engines[f"e{at}"].synced = True
    rates = [PER_S] * (OFFICES - 1) + [PER_S * (HOT_TIMES if hot else 1)]
    asked = [0] * OFFICES
    good = [0] * OFFICES
    since: dict[str, tuple[int, int]] = {}
    ending: list[tuple[int, str]] = []
    for now_ms in range(0, SECONDS * 1000, STEP_MS):
        clock._now_ms = now_ms
        for office, per_s in enumerate(rates):
            if rng.random() < per_s * STEP_MS / 1000:
                ticket = f"{office}-{asked[office]}"
                asked[office] += 1
                since[ticket] = office, now_ms
                name = f"office{office}" if told_apart else ""
                adapter = AdapterName("", "")
                req = PlaceRequest(
                    ticket, "s", adapter, 600, 60, (), 0, OBJECTIVE_MS, 4_000, "dc", (), 0, name
                )
                placer.submit(req)
        while ending and ending[0][0] <= now_ms:
            placer.release(heapq.heappop(ending)[1], RunOutcome.LEFT)
        for decision in placer.decide():
            if isinstance(decision, Grant):
                office, came_ms = since[decision.ticket]
                good[office] += now_ms - came_ms <= OBJECTIVE_MS - 50
                heapq.heappush(ending, (now_ms + RUN_MS, decision.ticket))
    return [one / all_ for one, all_ in zip(good, asked, strict=True)]


class FairShareTest(unittest.TestCase):
    def test_the_others_get_what_they_got_without_the_hot_one(self) -> None:
        alone = _in_time(hot=False, told_apart=True)
        beside = _in_time(hot=True, told_apart=True)
        self.assertGreaterEqual(min(beside[:-1]), 0.9 * min(alone[:-1]))

    def test_in_order_of_arrival_they_would_not(self) -> None:
        alone = _in_time(hot=False, told_apart=False)
        beside = _in_time(hot=True, told_apart=False)
        self.assertLess(max(beside[:-1]), 0.9 * min(alone[:-1]))

    def test_the_hot_one_has_what_the_others_leave(self) -> None:
        beside = _in_time(hot=True, told_apart=True)
        left_per_s = ENGINES * BATCH * 1000 / RUN_MS - (OFFICES - 1) * PER_S
        self.assertGreaterEqual(beside[-1] * PER_S * HOT_TIMES, 0.5 * left_per_s)

    @given(st.lists(st.integers(0, 5_000)))
    def test_one_organisation_is_served_first_come_first_served(self, sizes: list[int]) -> None:
        share = FairShare()
        tags = [share.tag("", size) for size in sizes]
        self.assertEqual(tags, sorted(tags))

    def test_who_was_silent_has_saved_nothing_up(self) -> None:
        share = FairShare()
        for _ in range(10):
            share.served(share.tag("busy", 100))
        self.assertEqual(share.tag("silent", 100), 900)
