"""A prompt part that ends engines where there are few of them, and few callers."""

from __future__ import annotations

import random
import unittest

from .fakes.part_caller import PartCaller
from .fakes.part_office import PartOffice

GATEWAYS, ENGINES = 3, 3
SOUND, FATAL_CALLERS = 2, 2
FATAL = "fatal"
RUN_MS = 120
CALM_MS, LENGTH_MS, SETTLED_MS = 3_000, 9_000, 3_000
LEADER_MS, LEADERLESS_MS = (600, 1_500), (300, 900)
MAX_ENDS = 5
SEEDS = (20, 23, 30, 37, 38)
SEEDS_OF_CHANGES = (2, 4, 8, 21, 22, 24, 32, 37)


class FewEnginesTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a common part that keeps the fatal one from being held: sound requests share
    # the engine of fatal ones, and nothing else is answered.
    async def test_a_fatal_part_ends_few_of_three_engines(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed):
                await self._play(seed, changes_leader=False)

    # Guards against leaders that each need further ends, as they come and go all the time.
    async def test_a_fatal_part_ends_few_of_three_engines_over_changes_of_leader(self) -> None:
        for seed in SEEDS_OF_CHANGES:
            with self.subTest(seed):
                await self._play(seed, changes_leader=True)

    async def _play(self, seed: int, changes_leader: bool) -> None:
        office, rng = PartOffice(GATEWAYS, ENGINES), random.Random(seed)
        self.addAsyncCleanup(office.stop)
        office.run_ms = RUN_MS
        callers = [PartCaller(office, rng) for _ in range(SOUND)]
        await self._pass(office, callers, CALM_MS)
        office.fatal.add(FATAL)
        callers += [PartCaller(office, rng, (FATAL,)) for _ in range(FATAL_CALLERS)]
        began_ms = office.clock.now_ms()
        while office.clock.now_ms() < began_ms + LENGTH_MS:
            await self._pass(office, callers, rng.uniform(*LEADER_MS))
            if changes_leader:
                office.lose_leader()
                await self._pass(office, callers, rng.uniform(*LEADERLESS_MS))
                office.begin_leader()
        ends = office.ends_ms
        self.assertLessEqual(len(ends), MAX_ENDS)
        last_ms = ends[:MAX_ENDS][-1] + SETTLED_MS
        self.assertEqual([one for one in office.fatal_arrivals_ms if one > last_ms], [])
        self.assertEqual(set(office.state.crashes.parts.held.values()), {(f"/{FATAL}",)})

    async def _pass(self, office: PartOffice, callers: list[PartCaller], ms: float) -> None:
        until_ms = office.clock.now_ms() + ms
        while office.clock.now_ms() < until_ms:
            for caller in callers:
                caller.tick()
            await office.step()
