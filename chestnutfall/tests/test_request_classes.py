"""Classes of requests that compete for engines with too little room.

Urgent, deferred and long requests arrive together at up to one and a half times what the engines
can do. Each test says what each class is served at least. With one queue that is ordered by "can be
in time" and rank, and prompts that keep an engine after they became late, one of them falls below.
"""

from __future__ import annotations

import unittest
from collections.abc import Mapping
from dataclasses import replace

from .fakes.class_office import (
    DEFERRED,
    LONG,
    PREFILL_PER_S,
    URGENT,
    Arrivals,
    ClassOffice,
    ClassResult,
    usual_mix,
)

ENGINES = 2
BATCH = 64
STARVED = 0.5
"""A class that is served less than half as often as all is starved."""
USED = 0.9
"""Part of the room that has to serve requests in time while more arrive than fit."""
WARM_UP_MS = 1_000
UNTIL_MS = 5_000


def _served(results: Mapping[str, ClassResult]) -> float:
    """Return the share of all requests that were served."""
    served = sum(one.in_time + one.late for one in results.values())
    return served / sum(one.asked for one in results.values())


class RequestClassesTest(unittest.TestCase):
    def _check_none_starves(self, results: Mapping[str, ClassResult]) -> None:
        for name, result in results.items():
            self.assertGreaterEqual(result.served_share, STARVED * _served(results), name)

    def test_nothing_is_lost_while_there_is_room(self) -> None:
        results = ClassOffice(ENGINES, BATCH).play(usual_mix(ENGINES, 0.9), UNTIL_MS, WARM_UP_MS)
        for name, result in results.items():
            self.assertGreaterEqual(result.in_time_share, 0.95, name)

    def test_with_a_little_too_many_most_of_each_class_is_served(self) -> None:
        results = ClassOffice(ENGINES, BATCH).play(usual_mix(ENGINES, 1.2), UNTIL_MS, WARM_UP_MS)
        self.assertGreaterEqual(results["urgent"].in_time_share, USED / 1.2)
        for name, result in results.items():
            self.assertGreaterEqual(result.served_share, USED / 1.2, name)

    def test_three_classes_at_one_and_a_half_times_the_room(self) -> None:
        # Prompts that became late fill the engines' queues: four urgent ones in five are late, and
        # no long one is served.
        results = ClassOffice(ENGINES, BATCH).play(usual_mix(ENGINES, 1.5), UNTIL_MS, WARM_UP_MS)
        self.assertGreaterEqual(results["urgent"].in_time_share, 1 / 1.5)
        self._check_none_starves(results)

    def test_a_class_behind_one_that_exceeds_the_room_by_itself(self) -> None:
        # In strict order of rank nearly all requests of the other class are refused.
        batch, run_ms = 6, 320
        room_per_s = ENGINES * batch * 1_000 / run_ms
        arrivals = [Arrivals(URGENT, 1.35 * room_per_s), Arrivals(DEFERRED, 0.15 * room_per_s)]
        results = ClassOffice(ENGINES, batch).play(arrivals, UNTIL_MS, WARM_UP_MS)
        self.assertGreaterEqual(results["urgent"].in_time_share, USED / 1.5)
        self._check_none_starves(results)

    def test_a_burst_of_long_prompts_leaves_urgent_ones_in_time(self) -> None:
        # Five times as many long prompts as usual need more than all engines; the urgent requests
        # alone need three fifths of them. Spread over all engines, long prompts make half of the
        # urgent ones late.
        burst = Arrivals(LONG, 0.1 * ENGINES * PREFILL_PER_S, WARM_UP_MS, WARM_UP_MS + 6_000)
        arrivals = [*usual_mix(ENGINES, 0.8), burst]
        results = ClassOffice(ENGINES, BATCH).play(arrivals, UNTIL_MS, WARM_UP_MS)
        self.assertGreaterEqual(results["urgent"].in_time_share, 0.75)
        self._check_none_starves(results)

    def test_more_deferred_requests_than_usual_use_the_slack(self) -> None:
        burst = Arrivals(DEFERRED, 0.15 * ENGINES * PREFILL_PER_S, WARM_UP_MS)
        arrivals = [*usual_mix(ENGINES, 0.9), burst]
        results = ClassOffice(ENGINES, BATCH).play(arrivals, UNTIL_MS, WARM_UP_MS)
        self.assertGreaterEqual(results["urgent"].in_time_share, 0.9)
        self.assertGreaterEqual(results["deferred"].served_share, 0.95)

    def test_a_thousand_requests_wait_after_an_outage(self) -> None:
        # Those that waited are late soon. If they keep the engines that they were assigned to,
        # everything that arrives in the next seconds is late too.
        engines = 10
        office = ClassOffice(engines, BATCH)
        for at in range(1_000):
            kind = LONG if at % 40 == 0 else DEFERRED if at % 15 == 0 else URGENT
            office.submit(replace(kind, name=f"waiting {kind.name}"))
        results = office.play(usual_mix(engines, 0.7), 1_500)
        self.assertGreaterEqual(results["urgent"].in_time_share, 0.75)
        self._check_none_starves(results)
