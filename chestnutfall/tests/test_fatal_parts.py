"""Prompt parts that end each engine that writes on them, with the real programs."""

from __future__ import annotations

import re
import tempfile
import unittest
from pathlib import Path

from .part_scenario import COMPANION, FATAL, PartScenario

ENGINES = 8
LENGTH_S = 9.0
MAX_ENDS = 5
MAX_LATER_ARRIVALS = 3
TOLD = ("crashes: ", "quarantine: ", "leader: ", "result=Lost", "place: ticket")
MAX_TOLD = 600
"""Lines of logs in the message of a failure, which can be traced by them."""
MIN_SHARE = 0.95
"""Of what was served before, for sound requests with the same first part."""


class FatalPartTest(unittest.TestCase):
    # Guards against requests that end one engine after the other, as no two of them are alike.
    def test_a_part_that_ends_engines_is_refused_and_sound_requests_are_served(self) -> None:
        self._check(PartScenario(71, ENGINES, LENGTH_S))

    # Guards against the same with a part that only such requests have, while leaders change.
    def test_a_part_beside_the_fatal_one_and_a_change_of_leader_cost_no_more_engines(self) -> None:
        self._check(PartScenario(72, ENGINES, LENGTH_S, (COMPANION, FATAL), ends_leaders=True))

    # Guards against evidence that is lost, and engines that end, as one leader follows the other
    # before any of them has held the part.
    def test_a_part_costs_no_more_engines_over_many_changes_of_leader(self) -> None:
        scenario = PartScenario(121, ENGINES, LENGTH_S, ends_leaders=True)
        scenario.leaders_end_after_s, scenario.leader_ends = -1.0, 4
        scenario.leader_down_s, scenario.leader_up_s = 0.8, 1.0
        self._check(scenario)

    # Guards against gateways that send a part on while there is no leader, and a next leader that
    # places it before it hears of the end. Asks the logs, since the parts may not be wired.
    def test_a_part_costs_no_more_engines_without_any_controller(self) -> None:
        scenario = PartScenario(74, ENGINES, LENGTH_S)
        scenario.all_leaders_down_s = 2.0
        logs = self._check(scenario)
        gateways = "".join(log for name, log in logs.items() if name.startswith("g"))
        controllers = "".join(log for name, log in logs.items() if name.startswith("c"))
        # One call connects both with what a gateway sends without a leader.
        for pattern, log in (
            (f"quarantine: suspects parts=.*/{FATAL}", gateways),
            (f"crashes: told of suspect parts=.*/{FATAL}", controllers),
        ):
            self.assertTrue(re.search(pattern, log), pattern)

    def _check(self, scenario: PartScenario) -> dict[str, str]:
        """Play and judge a scenario; return the log of each program."""
        with tempfile.TemporaryDirectory() as folder:
            scenario.keep = Path(folder)
            scenario.run()
            logs = {one.parent.name: one.read_text() for one in Path(folder).glob("*/log")}
        seen = "\n".join((scenario.describe(), *_told_lines(logs)))
        self.assertLessEqual(len(scenario.ends_s), MAX_ENDS, seen)
        self.assertLessEqual(scenario.late_arrivals, MAX_LATER_ARRIVALS, seen)
        self.assertGreaterEqual(scenario.share_after, MIN_SHARE * scenario.share_before, seen)
        return logs


def _told_lines(logs: dict[str, str]) -> list[str]:
    """Return what the programs logged of ends, suspects and leaders, in order of time."""
    lines = (line for log in logs.values() for line in log.splitlines())
    told = sorted(line for line in lines if any(one in line for one in TOLD))
    return told[:MAX_TOLD]
