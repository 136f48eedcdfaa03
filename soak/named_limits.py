"""Upstreams that name limits now and then, and whether they get no more than that."""

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
    """One upstream's limit, until it ended."""

    instance: str
    history: LimitHistory
    end_ms: float


class NamedLimits:
    """Lets one upstream after another name a limit, which may fall before it ends."""

    def __init__(self, office: Office) -> None:
        self._office = office
        self._episodes: list[_Episode] = []

    async def now_and_then(self, rng: random.Random) -> None:
        """Name limits again and again, until cancelled."""
        while True:
            await asyncio.sleep(rng.uniform(0.2, 1.5))
            await self._name(rng.choice(self._office.upstreams), rng)

    async def _name(self, upstream: StandInUpstream, rng: random.Random) -> None:
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

    def judge(self, book: RunRegistry, verdict: Verdict) -> None:
        """Whether anybody got more than it said it takes."""
        verdict.counts["limits named"] = len(self._episodes)
        for one in self._episodes:
            moments = [at_s * 1000 for at_s in book.arrival_times_s.get(one.instance, [])]
            in_time = [at_ms for at_ms in moments if at_ms <= one.end_ms]
            for excess in one.history.excesses(in_time):
                limits = [f"{per_s:.1f}" for _, per_s in one.history.announced]
                finding = f"{one.instance} named {limits} a second and got {excess.got} in a window"
                verdict.note(True, f"{finding} of {excess.allowed:.0f}")
                break


def _now_ms() -> float:
    return time.monotonic() * 1000
