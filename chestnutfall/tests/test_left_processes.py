"""Clients that leave real gateways which stand still, or whose links hold their bytes."""

from __future__ import annotations

import asyncio
import random
import unittest

from soak.leave_episodes import CALM_CLIENTS, LeaveEpisodes
from soak.verdict import Verdict

from .office_scenario import OfficeScenario

SEED = 101
ROUNDS = 2
CALLERS = 6


class LeftProcessesTest(unittest.TestCase):
    # Guards against requests that upstreams get more than half a second after their clients left:
    # the gateway read them late, or a link held them up.
    def test_nothing_is_sent_on_for_clients_that_left(self) -> None:
        self.verdict, self.left = Verdict(), 0
        asyncio.run(OfficeScenario(SEED, CALLERS, is_whole=True).run(self._script))
        self.assertEqual(self.verdict.violations, [])
        self.assertGreater(self.left, ROUNDS * CALM_CLIENTS)

    async def _script(self, play: OfficeScenario) -> None:
        leaves = LeaveEpisodes(play.office, play.office.disturbances)
        rng = random.Random(SEED)
        for _ in range(ROUNDS):
            await leaves.check_calm(rng, self.verdict)
        leaves.check(self.verdict)
        self.left = len(leaves.left)
