"""Upstreams that end when they reject too many requests, and a check that few do."""

from __future__ import annotations

import asyncio
import random

from chestnutfall.platform.standin.operator import ENGINES, PLAIN

from .office import Office
from .verdict import Verdict

MAX_FALLS = 2
"""Upstreams of a service that may end in one time in which they bear few rejections."""


class RejectionEpisodes:
    """Lets all upstreams of one service at a time bear few rejections for some seconds."""

    def __init__(self, office: Office) -> None:
        self._office = office
        self._falls: list[int] = []

    async def play_until_cancelled(self, rng: random.Random) -> None:
        """Start one episode after another until cancelled."""
        while True:
            await asyncio.sleep(rng.uniform(0.5, 2.0))
            await self._play_episode(rng.choice((ENGINES, PLAIN)), rng)

    async def _play_episode(self, service: str, rng: random.Random) -> None:
        upstreams = [one for one in self._office.upstreams if one.service == service]
        falls = self._office.run_registry.falls
        before = len(falls)
        try:
            for one in upstreams:
                one.rejections_per_s = rng.randrange(2, 5)
            await asyncio.sleep(rng.uniform(3.0, 6.0))
        finally:
            for one in upstreams:
                one.rejections_per_s = None
            self._falls.append(len(falls) - before)

    def check(self, verdict: Verdict) -> None:
        """Note each episode in which more upstreams ended than may."""
        verdict.counts["times with few rejections"] = len(self._falls)
        for count in self._falls:
            verdict.note_violation(count > MAX_FALLS, f"{count} upstreams ended by rejections")
