"""Prompt parts that end each engine that writes on them, with the real programs."""

from __future__ import annotations

import unittest

from .part_scenario import COMPANION, FATAL, PartScenario

ENGINES = 8
LENGTH_S = 9.0
MAX_ENDS = 5
MAX_LATER_ARRIVALS = 3
MIN_SHARE = 0.95
"""Of what was served before, for sound requests with the same first part."""


class FatalPartTest(unittest.TestCase):
    # Guards against requests that end one engine after the other, as no two of them are alike.
    def test_a_part_that_ends_engines_is_refused_and_sound_requests_are_served(self) -> None:
        self._check(PartScenario(71, ENGINES, LENGTH_S))

    # Guards against the same with a part that only such requests have, while leaders change.
    def test_a_part_beside_the_fatal_one_and_a_change_of_leader_cost_no_more_engines(self) -> None:
        self._check(PartScenario(72, ENGINES, LENGTH_S, (COMPANION, FATAL), ends_leaders=True))

    def _check(self, scenario: PartScenario) -> None:
        scenario.run()
        seen = scenario.describe()
        self.assertLessEqual(len(scenario.ends_s), MAX_ENDS, seen)
        self.assertLessEqual(scenario.late_arrivals, MAX_LATER_ARRIVALS, seen)
        self.assertGreaterEqual(scenario.share_after, MIN_SHARE * scenario.share_before, seen)
