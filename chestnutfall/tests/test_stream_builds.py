"""Streams in services whose engines run several software versions, with the real programs."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from .stream_scenario import StreamScenario

PAUSE_S = 0.8
CALM_S = 2.0
HALVES = ("v1", "v2", "v1", "v2", "v1", "v2")
MIN_SHARE = 0.9
"""Of the share of new streams that begin, for those that are taken up."""
MIN_TAKEN_UP = 12


class StreamBuildsTest(unittest.TestCase):
    # Guards against streams that go on at an engine of another software version than began them,
    # when answers break off, when callers come back elsewhere, and when the gateway has ended.
    def test_streams_go_on_only_at_the_version_that_began_them(self) -> None:
        self._check(StreamScenario(51, HALVES), _kill_gateways)

    # Guards against streams that began before the second version came, or under another leader, and
    # go on at the other version.
    def test_streams_of_before_a_version_and_a_leader_came_go_on_at_their_own(self) -> None:
        self._check(StreamScenario(54, ("v1",) * 6), _restart_engines_and_leaders)

    def _check(
        self, play: StreamScenario, script: Callable[[StreamScenario], Awaitable[None]]
    ) -> None:
        asyncio.run(play.run(script))
        seen = play.describe()
        self.assertEqual([one.builds for one in play.mixed], [], seen)
        self.assertEqual(len(play.broken), 0, seen)
        self.assertGreaterEqual(len(play.taken_up), MIN_TAKEN_UP, seen)
        wanted = MIN_SHARE * play.share_that_begins()
        self.assertGreaterEqual(play.share_that_goes_on(), wanted, seen)


async def _kill_gateways(play: StreamScenario) -> None:
    await asyncio.sleep(CALM_S)
    for gateway in play.office.gateways:
        await play.restart_gateway(gateway)
        await asyncio.sleep(PAUSE_S)


async def _restart_engines_and_leaders(play: StreamScenario) -> None:
    for engine, controller in zip(play.engines, play.office.controllers, strict=False):
        engine.next_build = "v2"
        await engine.restart()
        await asyncio.sleep(PAUSE_S)
        await controller.kill()
        await controller.start(False)
        await asyncio.sleep(CALM_S)
