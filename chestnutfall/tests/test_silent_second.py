"""Real programs whose sound upstreams write nothing for a second, beside changes of configuration.

Each request that was read is answered or refused, no stream is broken off before its deadline, and
none is answered 502.
"""

from __future__ import annotations

import unittest

from .silence_scenario import Choose, SilenceScenario, most_engines, most_plain, one_engine


class SilentSecondTest(unittest.TestCase):
    # Guards against a stream that is broken off since its only engine wrote nothing for a second.
    def test_one_silent_engine_of_several_ends_no_request(self) -> None:
        self._play(81, one_engine)

    # Guards against repeats that are spent on what most engines would have answered: their budget
    # and room are soon used up, and streams are given up with nowhere else to go.
    def test_most_engines_silent_at_once_end_no_request(self) -> None:
        self._play(82, most_engines)

    # Guards against answers 502 for lookups that were sent again to the only upstream that answers.
    def test_most_plain_upstreams_silent_at_once_end_no_request(self) -> None:
        self._play(83, most_plain)

    # Guards against a cause that is looked for in the changes though the silence alone is enough.
    def test_most_engines_silent_without_changes_end_no_request(self) -> None:
        self._play(84, most_engines, has_changes=False)

    def _play(self, seed: int, choose: Choose, has_changes: bool = True) -> None:
        play = SilenceScenario(seed, choose, has_changes)
        play.run()
        told = play.describe()
        self.assertEqual(play.given_up, [], told)
        self.assertEqual(play.verdict.violations, [], told)
        held = [count for name, count in play.verdict.counts.items() if "held back" in name]
        self.assertGreater(sum(held), 0, told)
