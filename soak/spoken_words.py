"""Upstreams that ask gateways for time, or leave, and whether each gateway keeps to it."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator

from chestnutfall.platform.standin.signal_history import (
    DRAIN_S,
    MAX_IN_BACKOFF,
    SETTLE_S,
    SignalHistory,
)
from chestnutfall.platform.standin.upstream import StandInUpstream

from .disturbances import FOR_EVER, Disturbances
from .office import Office
from .verdict import Verdict

NO_TIMES = ("0", "soon", "-1")
ALL_PART = 0.15
"""Part of the episodes in which all of a service ask for time."""
LEAVING_PART = 0.2


class SpokenWords:
    """One episode after another, also beside each other."""

    def __init__(self, office: Office, disturbances: Disturbances) -> None:
        self._office = office
        self._disturbances = disturbances
        self._episodes: set[asyncio.Task[None]] = set()
        self._asked = self._left = 0

    async def now_and_then(self, rng: random.Random) -> None:
        """Begin episodes until cancelled; in the end nobody says anything any more."""
        try:
            while True:
                await asyncio.sleep(rng.uniform(0.2, 1.2))
                episode = asyncio.ensure_future(self._episode(rng))
                self._episodes.add(episode)
                episode.add_done_callback(self._episodes.discard)
        finally:
            for episode in list(self._episodes):
                episode.cancel()
            await asyncio.gather(*self._episodes, return_exceptions=True)
            await self._fall_silent()

    async def _fall_silent(self) -> None:
        for one in self._office.upstreams:
            one.backoff = None
            if one.leaving or one.announces_draining:
                await one.restart()

    async def _episode(self, rng: random.Random) -> None:
        upstream = rng.choice(self._office.upstreams)
        others = [one for one in self._office.upstreams if one.service == upstream.service]
        if rng.random() < LEAVING_PART:
            if not any(one.leaving or one.announces_draining for one in others):
                await self._leave(upstream, rng)
            return
        await self._ask(others if rng.random() < ALL_PART else [upstream], rng)

    async def _ask(self, upstreams: list[StandInUpstream], rng: random.Random) -> None:
        text = rng.choice(NO_TIMES) if rng.random() < 0.1 else f"{rng.uniform(0.3, 3.0):.2f}"
        self._asked += 1
        try:
            for one in upstreams:
                one.backoff, one.marks_not_executed = text, rng.random() < 0.7
            await asyncio.sleep(rng.uniform(0.2, 2.0))
        finally:
            for one in upstreams:
                one.backoff = None

    async def _leave(self, upstream: StandInUpstream, rng: random.Random) -> None:
        self._left += 1
        # Some say it in their answers only, some in their announcements only, some in both.
        upstream.leaving, upstream.announces_draining = rng.choice(
            ((True, False), (False, True), (True, True))
        )
        await asyncio.sleep(rng.uniform(DRAIN_S + 1.0, DRAIN_S + 3.0))
        await upstream.restart()

    # Judgement

    def judge(self, verdict: Verdict) -> None:
        """Whether any gateway sent what it was asked not to send."""
        verdict.counts["times asked for"] = self._asked
        verdict.counts["upstreams left"] = self._left
        for instance, history in self._office.book.signals.items():
            for finding in self._findings(history):
                verdict.note(True, f"{instance}: {finding}")

    def _findings(self, history: SignalHistory) -> Iterator[str]:
        for one in history.backoff_refusals:
            until_s = one.at_s + one.backoff_s
            got = history.count_between(one.gateway, one.at_s + SETTLE_S, until_s)
            if got > MAX_IN_BACKOFF and not self._is_excused(
                history, one.gateway, one.at_s, until_s
            ):
                yield f"{one.gateway} sent {got} within {one.backoff_s} s that it asked for"
        for gateway, moments_s in history.leaving_answers_s.items():
            yield from self._after_leaving(history, gateway, moments_s)

    def _after_leaving(
        self, history: SignalHistory, gateway: str, moments_s: list[float]
    ) -> Iterator[str]:
        for told_s in moments_s:
            got = history.count_between(gateway, told_s + DRAIN_S + SETTLE_S, FOR_EVER)
            if got and not self._is_excused(history, gateway, told_s, FOR_EVER):
                yield f"{gateway} sent {got} later than {DRAIN_S} s after it said that it leaves"
                return

    def _is_excused(
        self, history: SignalHistory, gateway: str, from_s: float, until_s: float
    ) -> bool:
        """Whether the gateway was disturbed since, or may not have got the answer."""
        answer = self._disturbances.within(history.address, from_s - SETTLE_S, from_s + SETTLE_S)
        return answer or self._disturbances.within(gateway, from_s, until_s)
