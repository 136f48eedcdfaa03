"""Seconds of silence of upstreams, links, helpers and leaders' streams that are no fault."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager
from enum import Enum

from chestnutfall.platform.standin.operator import ENGINES, PLAIN
from chestnutfall.platform.standin.upstream import EVENT_S, StandInUpstream

from .daemon import Daemon
from .disturbances import Disturbances
from .harm import HELPERS, LEADERS, links_held, silent
from .office import Office
from .verdict import Verdict

LENGTH_S = (0.3, 1.5)
PAUSE_S = (0.5, 2.5)


class SilenceKind(Enum):
    """What falls silent."""

    ONE = "one upstream"
    MOST_ENGINES = "most engines"
    MOST_PLAIN = "most of a plain service"
    ALL = "all upstreams"
    LINK = "a link to one upstream"
    HELPER = "the links to a helper"
    LEADER = "the links to controllers"


CALM_KINDS = (
    SilenceKind.MOST_ENGINES,
    SilenceKind.MOST_PLAIN,
    SilenceKind.MOST_ENGINES,
    SilenceKind.ONE,
    SilenceKind.LEADER,
    SilenceKind.HELPER,
)
CALM_S = (1.0, 1.5)
CALM_PAUSE_S = 0.7
CALM_EVENT_S = 0.04
"""Long enough for most streams to have begun when a silence begins."""


class SilenceEpisodes:
    """Lets parts of a deployment fall silent for up to 1.5 s and go on."""

    def __init__(self, office: Office, disturbances: Disturbances) -> None:
        self._office = office
        self._disturbances = disturbances
        self._played: Counter[SilenceKind] = Counter()

    async def play_until_cancelled(self, rng: random.Random) -> None:
        """Play one silence after another until cancelled."""
        while True:
            await asyncio.sleep(rng.uniform(*PAUSE_S))
            await self.play(rng, rng.choice(list(SilenceKind)), rng.uniform(*LENGTH_S))

    async def play_calm(self, rng: random.Random) -> None:
        """Play some long silences, under no fault."""
        for upstream in self._office.upstreams:
            upstream.unframed_share, upstream.event_s = 0.0, CALM_EVENT_S
        for kind in CALM_KINDS:
            await asyncio.sleep(CALM_PAUSE_S)
            await self.play(rng, kind, rng.uniform(*CALM_S))
        await asyncio.sleep(CALM_PAUSE_S)
        for upstream in self._office.upstreams:
            upstream.event_s = EVENT_S

    async def play(self, rng: random.Random, kind: SilenceKind, for_s: float) -> None:
        """Play one silence and wait for its end."""
        self._played[kind] += 1
        match kind:
            case SilenceKind.ONE:
                await self.silence([rng.choice(self._office.upstreams)], rng, for_s)
            case SilenceKind.MOST_ENGINES:
                await self.silence(self._most(ENGINES, rng), rng, for_s)
            case SilenceKind.MOST_PLAIN:
                await self.silence(self._most(PLAIN, rng), rng, for_s)
            case SilenceKind.ALL:
                await self.silence(self._office.upstreams, rng, for_s)
            case SilenceKind.LINK:
                await self._hold_link(rng, for_s)
            case SilenceKind.HELPER:
                gateways = self._office.gateways
                with self._held(HELPERS, gateways, [rng.choice(gateways)]):
                    await asyncio.sleep(for_s)
            case SilenceKind.LEADER:
                gateways = rng.sample(self._office.gateways, rng.randrange(1, 4))
                with self._held(LEADERS, gateways, self._office.controllers):
                    await asyncio.sleep(for_s)

    def _most(self, service: str, rng: random.Random) -> list[StandInUpstream]:
        same = [one for one in self._office.upstreams if one.service == service]
        return rng.sample(same, len(same) - 1)

    async def silence(
        self, upstreams: Sequence[StandInUpstream], rng: random.Random, for_s: float
    ) -> None:
        """Let some upstreams be silent, and wait for the end."""
        pauses_runs, splits_events = rng.random() < 0.5, rng.random() < 0.5
        with ExitStack() as stack:
            for one in upstreams:
                name = silent(one.announced_address)
                stack.enter_context(self._disturbances.recorded(name))
                one.silence.begin(for_s, pauses_runs, splits_events)
            await asyncio.sleep(for_s)

    async def _hold_link(self, rng: random.Random, for_s: float) -> None:
        gateway = rng.choice(self._office.gateways)
        relay = rng.choice(self._office.relays)
        with (
            self._disturbances.recorded(silent(relay.address)),
            self._disturbances.recorded(links_held(self._office.client_address(gateway))),
            relay.holding(gateway.plan.ip),
        ):
            await asyncio.sleep(for_s)

    @contextmanager
    def _held(
        self, name: str, gateways: Sequence[Daemon], targets: Sequence[Daemon]
    ) -> Iterator[None]:
        with (
            self._disturbances.recorded(silent(name)),
            self._office.peer_links.holding(gateways, targets),
        ):
            yield

    def check(self, verdict: Verdict) -> None:
        """Add the numbers of silences to the counts."""
        for kind, count in self._played.items():
            verdict.counts[f"silence: {kind.value}"] = count
        for one in self._office.upstreams:
            for moment, count in one.silence.held.items():
                verdict.counts[f"held back: {moment.value}"] += count
