"""Floods of one organisation at a plain service that is slow, and checks of who is served."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass, field

from chestnutfall.platform.standin.client import ClientResult, StandInClient
from chestnutfall.platform.standin.operator import PLAIN
from chestnutfall.platform.standin.tenants import FLOODING, STEADY

from .disturbances import Disturbances
from .harm import silent, slow
from .office import Office
from .signal_episodes import takes_no_work
from .verdict import Verdict

SLOWDOWN = 6.0
"""Upstreams run some 80 requests a second while they work so much slower."""
FLOOD_INTERVAL_S = 0.008
OTHERS_INTERVAL_S = 0.05
EPISODE_S = 2.5
SETTLE_S = 1.2
"""Time in which the leader learns that the service is short of room."""
MIN_REQUESTS = 8
"""Requests of one kind and organisation from which some must be served."""
MIN_SERVED_PART = 0.5
"""Part of the requests of others that must be served where there was no fault at all."""
MAX_REFUSED_PART = 0.1
"""Part of the requests that upstreams may refuse for lack of room after `SETTLE_S`."""


@dataclass(slots=True)
class _Episode:
    """What was seen in an episode without a fault of a gateway or an upstream.

    Attributes
    ----------
    is_calm : bool
        Whether there was no fault of a controller either.
    began_s, ended_s : float
        Times of `time.monotonic`.
    refused : int
        Requests that upstreams refused for lack of room after `SETTLE_S`.
    reasons : Counter of tuple and str
        How requests ended that were not served, by route and organisation.
    """

    is_calm: bool
    began_s: float
    ended_s: float = 0.0
    sent: Counter[tuple[str, str]] = field(default_factory=Counter)
    served: Counter[tuple[str, str]] = field(default_factory=Counter)
    refused: int = 0
    reasons: Counter[tuple[tuple[str, str], str]] = field(default_factory=Counter)

    def reasons_of(self, key: tuple[str, str]) -> str:
        """Return how the requests of a route and organisation ended that were not served."""
        counts = ((text, count) for (one, text), count in self.reasons.items() if one == key)
        return ", ".join(f"{count} {text}" for text, count in counts)


class FloodEpisodes:
    """Lets one organisation ask for more than a plain service can run, beside others."""

    def __init__(self, office: Office, disturbances: Disturbances) -> None:
        self._office = office
        self._disturbances = disturbances
        self._episodes: list[_Episode] = []
        self._played = 0

    async def play_until_cancelled(
        self, client: StandInClient, rng: random.Random, seen: list[ClientResult]
    ) -> None:
        """Start one episode after another until cancelled; append each result to `seen`."""
        while True:
            await asyncio.sleep(rng.uniform(1.0, 4.0))
            await self.play_episode(client, rng, seen)

    async def play_episode(
        self,
        client: StandInClient,
        rng: random.Random,
        seen: list[ClientResult],
        is_calm: bool = False,
    ) -> None:
        """Play one episode; append each result to `seen`.

        Parameters
        ----------
        is_calm : bool
            Whether no fault is injected meanwhile.
        """
        self._played += 1
        began_s = time.monotonic()
        episode = _Episode(is_calm, began_s)
        plain = [one for one in self._office.upstreams if one.service == PLAIN]
        for upstream in plain:
            upstream.room.slowdown = SLOWDOWN
        results: list[ClientResult] = []
        loads = [
            self._send_for(client, rng, results, FLOODING, "once", FLOOD_INTERVAL_S),
            self._send_for(client, rng, results, STEADY, "once", OTHERS_INTERVAL_S),
            self._send_for(client, rng, results, STEADY, "again", OTHERS_INTERVAL_S),
        ]
        try:
            with ExitStack() as stack:
                for upstream in plain:
                    name = slow(upstream.announced_address)
                    stack.enter_context(self._disturbances.recorded(name))
                await asyncio.gather(self._count_refused(episode, began_s), *loads)
        finally:
            episode.ended_s = time.monotonic()
            seen.extend(results)
            for upstream in plain:
                upstream.room.slowdown = 1.0
        for result in results:
            key = result.route, result.organisation
            episode.sent[key] += 1
            episode.served[key] += result.status == 200
            if result.status != 200:
                episode.reasons[key, f"{result.status} {result.reason}".strip()] += 1
        if not self._was_disturbed(began_s):
            self._episodes.append(episode)

    async def _send_for(
        self,
        client: StandInClient,
        rng: random.Random,
        results: list[ClientResult],
        organisation: str,
        route: str,
        interval_s: float,
    ) -> None:
        """Send requests at an interval, each without waiting for the answers before it."""
        sends = []
        for _ in range(int(EPISODE_S / interval_s)):
            await asyncio.sleep(interval_s)
            address = self._office.client_address(rng.choice(self._office.gateways))
            send = client.send(address, route, organisation=organisation)
            sends.append(asyncio.ensure_future(send))
        results.extend(await asyncio.gather(*sends))

    async def _count_refused(self, episode: _Episode, began_s: float) -> None:
        await asyncio.sleep(SETTLE_S)
        before = self._refused()
        await asyncio.sleep(began_s + EPISODE_S - time.monotonic())
        episode.refused = self._refused() - before

    def _refused(self) -> int:
        return sum(one.room.refused for one in self._office.upstreams)

    def _was_disturbed(self, began_s: float) -> bool:
        names = [self._office.client_address(one) for one in self._office.gateways]
        upstreams = [one.announced_address for one in self._office.upstreams]
        names += (*upstreams, *map(silent, upstreams))
        now_s = time.monotonic()
        return any(self._disturbances.overlaps(name, began_s, now_s) for name in names)

    def _was_refused_by_upstreams(self, episode: _Episode, key: tuple[str, str]) -> bool:
        """Return whether no upstream took work, and all requests were refused as not run.

        One upstream may be leaving while the other one asks for a backoff as long as the episode.
        """
        plain = [one for one in self._office.upstreams if one.service == PLAIN]
        return all(
            self._disturbances.overlaps(takes_no_work(one), episode.began_s, episode.ended_s)
            for one in plain
        ) and all(text.startswith("503") for one, text in episode.reasons if one == key)

    def check(self, verdict: Verdict) -> None:
        """Note kinds and organisations that got nothing, and calls beyond the upstreams' room."""
        verdict.counts["floods"] = self._played
        verdict.counts["floods without a fault"] = len(self._episodes)
        for episode in self._episodes:
            for key, sent in episode.sent.items():
                served = episode.served[key]
                starved = sent >= MIN_REQUESTS and not served
                starved = starved and not self._was_refused_by_upstreams(episode, key)
                if episode.is_calm and key[1] != FLOODING:
                    starved = starved or served < MIN_SERVED_PART * sent
                verdict.note_violation(
                    starved,
                    f"{served} of {sent} requests of {key} were served: {episode.reasons_of(key)}",
                )
            bound = MAX_REFUSED_PART * sum(episode.sent.values())
            verdict.note_violation(
                episode.refused > bound,
                f"upstreams refused {episode.refused} of {sum(episode.sent.values())} for room",
            )
