"""Upstreams that declare request limits, and a check that they get no more requests than that."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass

from chestnutfall.platform.standin.limit_history import LimitHistory
from chestnutfall.platform.standin.run_registry import RunRegistry
from chestnutfall.platform.standin.upstream import StandInUpstream

from .office import Office
from .verdict import Verdict


@dataclass(frozen=True, slots=True)
class _Episode:
    """The limits that an incarnation of an upstream declared, one after another.

    Attributes
    ----------
    instance : str
        The incarnation.
    history : LimitHistory
        Limits and the times of their first declaration.
    end_ms : float
        Time from which it declared none, by `_now_ms`.
    """

    instance: str
    history: LimitHistory
    end_ms: float


class LimitEpisodes:
    """Lets one upstream at a time declare a limit that falls to a third after some seconds."""

    def __init__(self, office: Office) -> None:
        self._office = office
        self._episodes: list[_Episode] = []

    async def play_until_cancelled(self, rng: random.Random) -> None:
        """Start one episode after another until cancelled."""
        while True:
            await asyncio.sleep(rng.uniform(0.2, 1.5))
            await self._play_episode(rng.choice(self._office.upstreams), rng)

    async def _play_episode(self, upstream: StandInUpstream, rng: random.Random) -> None:
        history = LimitHistory()
        instance = upstream.instance
        per_s = rng.uniform(6.0, 12.0)
        try:
            for _ in range(2):
                upstream.limit = f"{per_s:.1f}"
                history.note_limit(_now_ms(), per_s)
                await asyncio.sleep(rng.uniform(2.0, 4.0))
                per_s /= 3
        finally:
            upstream.limit = None
            self._episodes.append(_Episode(instance, history, _now_ms()))

    def check(self, run_registry: RunRegistry, verdict: Verdict) -> None:
        """Note each episode in which an upstream got more requests than its limits allow."""
        verdict.counts["limits named"] = len(self._episodes)
        for one in self._episodes:
            moments = [at_s * 1000 for at_s in run_registry.arrival_times_s.get(one.instance, [])]
            in_time = [at_ms for at_ms in moments if at_ms <= one.end_ms]
            for excess in one.history.excesses(in_time):
                limits = [f"{per_s:.1f}" for _, per_s in one.history.announced]
                finding = f"{one.instance} named {limits} a second and got {excess.got} in a window"
                verdict.note_violation(True, f"{finding} of {excess.allowed:.0f}")
                break


def _now_ms() -> float:
    return time.monotonic() * 1000
