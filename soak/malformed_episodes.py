"""Upstreams in trouble whose answers have heads that are none."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

from chestnutfall.platform.standin.malformed import Malformed

from .disturbances import Disturbances
from .harm import links_harmed
from .office import Office
from .verdict import Verdict

LENGTH_S = (0.1, 0.6)
PAUSE_S = (1.0, 4.0)


class MalformedEpisodes:
    """Lets upstreams answer with malformed heads for a while; no client may get one of them."""

    def __init__(self, office: Office, disturbances: Disturbances) -> None:
        self._office = office
        self._disturbances = disturbances
        self._played: Counter[Malformed] = Counter()

    async def play_until_cancelled(self, rng: random.Random) -> None:
        """Let one upstream after another answer so until cancelled."""
        while True:
            await asyncio.sleep(rng.uniform(*PAUSE_S))
            upstream, kind = rng.choice(self._office.upstreams), rng.choice(list(Malformed))
            self._played[kind] += 1
            upstream.malformed = kind
            try:
                with self._disturbances.recorded(links_harmed(upstream.announced_address)):
                    await asyncio.sleep(rng.uniform(*LENGTH_S))
            finally:
                upstream.malformed = None

    def check(self, verdict: Verdict) -> None:
        """Add the numbers of episodes to the counts."""
        for kind, count in self._played.items():
            verdict.counts[f"malformed: {kind.value}"] = count
