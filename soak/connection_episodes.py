"""Upstreams that misuse the connections that gateways keep to them."""

from __future__ import annotations

import asyncio
import random
import time

from .disturbances import Disturbances
from .harm import closed_idle
from .office import Office
from .verdict import Verdict

EXTRA_ANSWER_FRACTION = 0.2
"""Fraction of the episodes in which an upstream answers a request once more."""


class ConnectionEpisodes:
    """Closes idle connections at random moments, also as requests go out, and sends extra answers.

    `SoakRun` checks the effects with those of all other faults: each client gets the bytes of its
    own answer, a non-idempotent request runs at most once, and one that was answered "not run" did
    not run.
    """

    def __init__(self, office: Office, disturbances: Disturbances) -> None:
        self._office = office
        self._disturbances = disturbances
        self._closed = self._extra_answers = 0

    async def play_until_cancelled(self, rng: random.Random) -> None:
        """Start an episode at a random upstream every few ms until cancelled."""
        while True:
            await asyncio.sleep(rng.uniform(0.005, 0.06))
            upstream = rng.choice(self._office.upstreams)
            now_s = time.monotonic()
            self._disturbances.record(closed_idle(upstream.announced_address), now_s, now_s)
            if rng.random() < EXTRA_ANSWER_FRACTION:
                body = b"x" * rng.randrange(600)
                self._extra_answers += upstream.idle.answer_again(rng, body)
            else:
                self._closed += upstream.idle.close_one(rng)

    def check(self, verdict: Verdict) -> None:
        """Add the numbers of closed connections and extra answers to the counts."""
        verdict.counts["idle connections closed"] = self._closed
        verdict.counts["extra answers"] = self._extra_answers
