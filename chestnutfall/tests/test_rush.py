"""Most new connections at one gateway of the real programs, on a host with little processor."""

from __future__ import annotations

import unittest

from .rush_scenario import RushScenario

MIN_SHARE = 0.9
"""Of what was served before."""
LENGTH_S = 6.0
OVERLOAD, USUAL = 5.5, 0.4
"""Use of the rushed gateway's processor by the usual load."""


class RushTest(unittest.TestCase):
    # Guards against a gateway that reads what it can't serve and answers nothing.
    def test_what_a_rushed_gateway_reads_is_served_and_the_others_serve_the_rest(self) -> None:
        play = RushScenario(91, 150, OVERLOAD, LENGTH_S)
        play.run()
        seen = play.describe()
        self.assertGreaterEqual(play.share_served({play.rushed}), MIN_SHARE, seen)
        self.assertGreaterEqual(play.share_served(play.others), MIN_SHARE, seen)
        self.assertGreaterEqual(play.share_that_finds_a_gateway(), MIN_SHARE, seen)
        self.assertTrue(play.stayed_in(), seen)

    # Guards against refusals where connections are spread as usual.
    def test_nothing_is_refused_while_connections_are_spread_as_usual(self) -> None:
        play = RushScenario(92, 30, USUAL, LENGTH_S, rushed_share=0.0)
        play.run()
        self.assertEqual(0, play.unread, play.describe())
