"""Fair shares when one organisation sends many times its usual number of requests.

The load has eight organisations with equal rates, one of which sends fifteen times as much. In
order of arrival it would get nearly all capacity, and the others would wait behind its requests.
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

ORGANISATIONS, PER_S, BUSY_FACTOR = 8, 16, 15
ENGINES, BATCH, RUN_MS, OBJECTIVE_MS = 4, 4, 100, 500
SPEC = EngineSpec(BATCH, 200_000, (), 0, 0, 1)
SECONDS, STEP_MS = 20, 4
PEAK_S = 5
SHORT_PER_S = 22
"""A tenth more of each organisation than there is room for."""


def _placer(clock: ManualClock) -> Placer:
    placer = Placer(clock)
    for at in range(ENGINES):
        placer.engine_up(f"e{at}", "s", "dc", SPEC)
        placer.engines[f"e{at}"].synced = True
    return placer


def _request(ticket: str, organisation: str) -> PlaceRequest:
    adapter = AdapterName("", "")
    return PlaceRequest(
        ticket, "s", adapter, 600, 60, (), 0, OBJECTIVE_MS, 4_000, "dc", (), 0, organisation
    )


def _in_time(busy: bool, separate: bool) -> list[float]:
    """Return the share of each organisation's requests that begin in time, the busy one last."""
    rng, clock = random.Random(3), ManualClock()
    placer = _placer(clock)
    rates = [PER_S] * (ORGANISATIONS - 1) + [PER_S * (BUSY_FACTOR if busy else 1)]
    asked = [0] * ORGANISATIONS
    good = [0] * ORGANISATIONS
    since: dict[str, tuple[int, int]] = {}
    ending: list[tuple[int, str]] = []
    for now_ms in range(0, SECONDS * 1000, STEP_MS):
        clock._now_ms = now_ms
        for organisation, per_s in enumerate(rates):
            if rng.random() < per_s * STEP_MS / 1000:
                ticket = f"{organisation}-{asked[organisation]}"
                asked[organisation] += 1
                since[ticket] = organisation, now_ms
                placer.submit(_request(ticket, f"office{organisation}" if separate else ""))
        while ending and ending[0][0] <= now_ms:
            placer.release(heapq.heappop(ending)[1], RunOutcome.LEFT)
        for decision in placer.decide():
            if isinstance(decision, Grant):
                organisation, came_ms = since[decision.ticket]
                good[organisation] += now_ms - came_ms <= OBJECTIVE_MS - 50
                heapq.heappush(ending, (now_ms + RUN_MS, decision.ticket))
    return [one / all_ for one, all_ in zip(good, asked, strict=True)]


def _served_after_peak() -> list[float]:
    """Return the share of each organisation's requests that begin after the busy one's peak."""
    rng, clock = random.Random(3), ManualClock()
    placer = _placer(clock)
    asked = [0] * ORGANISATIONS
    served = [0] * ORGANISATIONS
    counted: dict[str, int] = {}
    ending: list[tuple[int, str]] = []
    for now_ms in range(0, (PEAK_S + SECONDS) * 1000, STEP_MS):
        clock._now_ms = now_ms
        is_peak = now_ms < PEAK_S * 1000
        for organisation in range(ORGANISATIONS):
            is_busy = is_peak and organisation == ORGANISATIONS - 1
            per_step = SHORT_PER_S * (BUSY_FACTOR if is_busy else 1) * STEP_MS / 1000
            for at in range(int(per_step) + (rng.random() < per_step % 1)):
                ticket = f"{organisation}-{now_ms}-{at}"
                if not is_peak:
                    asked[organisation] += 1
                    counted[ticket] = organisation
                placer.submit(_request(ticket, f"office{organisation}"))
        while ending and ending[0][0] <= now_ms:
            placer.release(heapq.heappop(ending)[1], RunOutcome.LEFT)
        for decision in placer.decide():
            if isinstance(decision, Grant):
                heapq.heappush(ending, (now_ms + RUN_MS, decision.ticket))
                if decision.ticket in counted:
                    served[counted[decision.ticket]] += 1
    return [one / all_ for one, all_ in zip(served, asked, strict=True)]


class FairShareTest(unittest.TestCase):
    # Guards against an organisation that pays for its peak long after, by requests refused then.
    def test_after_its_peak_the_busy_one_is_served_like_the_others(self) -> None:
        *others, busy = _served_after_peak()
        self.assertGreaterEqual(busy, 0.9 * min(others))

    def test_other_organisations_keep_their_service_beside_the_busy_one(self) -> None:
        alone = _in_time(busy=False, separate=True)
        beside = _in_time(busy=True, separate=True)
        self.assertGreaterEqual(min(beside[:-1]), 0.9 * min(alone[:-1]))

    def test_in_order_of_arrival_they_would_lose_service(self) -> None:
        alone = _in_time(busy=False, separate=False)
        beside = _in_time(busy=True, separate=False)
        self.assertLess(max(beside[:-1]), 0.9 * min(alone[:-1]))

    def test_the_busy_one_gets_what_the_others_leave(self) -> None:
        beside = _in_time(busy=True, separate=True)
        left_per_s = ENGINES * BATCH * 1000 / RUN_MS - (ORGANISATIONS - 1) * PER_S
        self.assertGreaterEqual(beside[-1] * PER_S * BUSY_FACTOR, 0.5 * left_per_s)

    @given(st.lists(st.integers(0, 5_000)))
    def test_one_organisation_is_served_first_come_first_served(self, sizes: list[int]) -> None:
        share = FairShare()
        tags = [share.tag("", size) for size in sizes]
        self.assertEqual(tags, sorted(tags))

    def test_an_idle_organisation_gains_no_credit(self) -> None:
        share = FairShare()
        for _ in range(10):
            share.served(share.tag("busy", 100))
        self.assertEqual(share.tag("silent", 100), 900)
