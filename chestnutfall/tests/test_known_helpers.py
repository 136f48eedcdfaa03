"""What a gateway keeps of the helpers that leaders name."""

from __future__ import annotations

import random
import unittest

from ..clock import ManualClock
from ..paths.known_helpers import MAX_NAMED, KnownHelpers
from ..paths.leader_messages import HelpersByUpstream, UpstreamHelpers


class NamedHelpersTest(unittest.TestCase):
    # Guards against memory that grows with upstreams that a leader named and never took back.
    def test_upstreams_named_longest_ago_are_dropped(self) -> None:
        helpers = KnownHelpers(ManualClock(), random.Random(1))
        for at in range(2 * MAX_NAMED):
            named = UpstreamHelpers(f"i{at}", ("a1",)), UpstreamHelpers("kept", ("a2",))
            helpers.apply_links(HelpersByUpstream(named, ()))
        self.assertEqual(len(helpers._by_upstream), MAX_NAMED)
        self.assertEqual(helpers.candidates("kept"), ["a2"])
        self.assertEqual(helpers.candidates(f"i{2 * MAX_NAMED - 1}"), ["a1"])
        self.assertEqual(helpers.candidates("i0"), [])
