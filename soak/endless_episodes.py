"""Upstreams in trouble that write bytes without end in place of answers."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

from chestnutfall.platform.standin.endless import Endless
from chestnutfall.platform.standin.operator import ENGINES, PLAIN
from chestnutfall.platform.standin.upstream import StandInUpstream

from .disturbances import Disturbances
from .harm import links_harmed
from .office import Office
from .verdict import Verdict

LENGTH_S = (0.3, 1.5)
PAUSE_S = (1.0, 4.0)
CALM_S = 1.0
MAX_GROWTH_MB = 50
"""Memory that a gateway may take for answers that never end."""


class EndlessEpisodes:
    """Lets upstreams write without end for a while."""

    def __init__(self, office: Office, disturbances: Disturbances) -> None:
        self._office = office
        self._disturbances = disturbances
        self._played: Counter[Endless] = Counter()

    async def play_until_cancelled(self, rng: random.Random) -> None:
        """Let one upstream after another write without end until cancelled."""
        while True:
            await asyncio.sleep(rng.uniform(*PAUSE_S))
            with self._writing(rng.choice(self._office.upstreams), rng.choice(list(Endless))):
                await asyncio.sleep(rng.uniform(*LENGTH_S))

    async def play_calm(self, rng: random.Random, verdict: Verdict) -> None:
        """Play each kind at an engine and a plain upstream, and check the gateways' memory."""
        before_mb = self._peaks_mb()
        for kind in Endless:
            chosen = [self._one_of(service, rng) for service in (ENGINES, PLAIN)]
            with ExitStack() as stack:
                for one in chosen:
                    stack.enter_context(self._writing(one, kind))
                await asyncio.sleep(CALM_S)
        for name, peak_mb in self._peaks_mb().items():
            growth_mb = peak_mb - before_mb[name]
            verdict.note_violation(
                growth_mb > MAX_GROWTH_MB, f"{name} grew by {growth_mb:.0f} MB by endless answers"
            )

    def _one_of(self, service: str, rng: random.Random) -> StandInUpstream:
        return rng.choice([one for one in self._office.upstreams if one.service == service])

    @contextmanager
    def _writing(self, upstream: StandInUpstream, kind: Endless) -> Iterator[None]:
        self._played[kind] += 1
        upstream.endless = kind
        try:
            with self._disturbances.recorded(links_harmed(upstream.announced_address)):
                yield
        finally:
            upstream.endless = None

    def _peaks_mb(self) -> dict[str, float]:
        return {one.plan.name: one.peak_mb() for one in self._office.gateways}

    def check(self, verdict: Verdict) -> None:
        """Add the numbers of episodes to the counts."""
        for kind, count in self._played.items():
            verdict.counts[f"endless: {kind.value}"] = count
