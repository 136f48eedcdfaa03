"""Helpers by upstream where gateways know each other, on the product's own interface."""

from __future__ import annotations

import random
import unittest
from types import SimpleNamespace
from typing import Any, cast

from ..clock import ManualClock
from ..control.messages import GatewayAddress
from ..membership.gateway_agent import MAX_CUT_LINKS, GatewayAgent
from ..membership.peer_helpers import PeerHelpers
from ..membership.upstream_registry import UpstreamRegistry
from ..paths.known_helpers import KnownHelpers


class PeerHelpersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.helpers = KnownHelpers(self.clock, random.Random(1))
        self.agent = SimpleNamespace(session="g0", gateways={})
        self.peers = PeerHelpers(cast(Any, self.agent), self.helpers)

    def _hear(self, *cut: tuple[str, ...]) -> None:
        self.agent.gateways = {
            f"g{at}": GatewayAddress(f"g{at}", f"a{at}", instances)
            for at, instances in enumerate(cut)
        }
        self.peers.update()

    # Guards against helpers that don't reach the upstream that the call needs.
    def test_those_that_reach_an_upstream_are_asked_for_it(self) -> None:
        self._hear(("i1", "i2"), ("i1",), ("i2",), ("i1", "i2"))
        self.assertEqual(self.helpers.candidates("i1"), ["a2"])
        self.assertEqual(self.helpers.candidates("i2"), ["a1"])
        self.assertEqual(set(self.helpers.candidates("other")), {"a1", "a2", "a3"})

    def test_an_upstream_that_none_reaches_has_no_helper(self) -> None:
        self._hear(("i1",), ("i1",))
        self.assertEqual(self.helpers.candidates("i1"), [])
        self.assertFalse(self.helpers.usable("i1"))

    # Guards against helpers that are named by links of a cut that is over.
    def test_after_a_cut_any_helper_is_asked_again(self) -> None:
        self._hear(("i1",), ("i1",), ())
        self._hear((), ("i1",), ())
        self.assertEqual(set(self.helpers.candidates("i1")), {"a1", "a2"})

    def test_heartbeats_name_the_links_that_are_cut(self) -> None:
        registry = UpstreamRegistry(self.clock)
        agent = GatewayAgent("g0", "a0", "dc", cast(Any, None), registry, self.clock, 1_000)
        agent.cut_links = lambda: (f"i{number}" for number in range(MAX_CUT_LINKS + 1))
        self.assertEqual(len(agent._heartbeat().cut), MAX_CUT_LINKS)
