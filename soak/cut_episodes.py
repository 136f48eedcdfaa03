"""Gateways that lose their links to all upstreams, and a check that their callers are served."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

from chestnutfall.platform.standin.client import ClientResult, StandInClient

from .daemon import Daemon
from .disturbances import Disturbances
from .harm import links_cut
from .office import Office
from .relay import HANGING, REFUSED, ConnectionFault
from .verdict import Verdict

MODES = (
    (ConnectionFault.RESET, REFUSED),
    (ConnectionFault.SILENCE, HANGING),
    (ConnectionFault.NONE, REFUSED),
)
"""What becomes of open connections, and how each try to open another one ends."""
SETTLED_S = 2.0
"""Time after which callers of a gateway that is cut off are served like others."""
CALL_PAUSE_S = 0.05
MIN_SHARE = 2 / 3
PAIRS_PART = 0.4
"""Part of the episodes in which links are cut pair by pair."""
PAIRS_SHARE = 0.7
"""Part of all links that is cut then; each upstream is reached by some gateway."""
MIN_SHARE_OF_PAIRS = 0.9
"""Part of the calls that each gateway must serve then."""
CALLS = 30
ROUTES = ("once", "again", "draft", "long")


class CutEpisodes:
    """Cuts one gateway at a time off from all upstreams, beside other faults."""

    def __init__(self, office: Office, disturbances: Disturbances) -> None:
        self._office = office
        self._disturbances = disturbances
        self._cuts = 0

    async def play_until_cancelled(self, rng: random.Random, pairs_rng: random.Random) -> None:
        """Start one episode after another until cancelled."""
        while True:
            await asyncio.sleep(rng.uniform(1.0, 4.0))
            with (
                self._cut_pairs(pairs_rng)
                if pairs_rng.random() < PAIRS_PART
                else self._cut_off(rng.choice(self._office.gateways), rng)
            ):
                await asyncio.sleep(rng.uniform(0.5, 3.0))

    @contextmanager
    def _cut_off(self, gateway: Daemon, rng: random.Random) -> Iterator[None]:
        self._cuts += 1
        with self._disturbances.recorded(links_cut(self._office.client_address(gateway))):
            try:
                self._office.cut_off(gateway, *rng.choice(MODES))
                yield
            finally:
                self._office.join(gateway)

    @contextmanager
    def _cut_pairs(self, rng: random.Random) -> Iterator[None]:
        """Cut links pair by pair; each upstream keeps the link of some gateway."""
        self._cuts += 1
        with ExitStack() as stack:
            for gateway, relays in self._office.draw_pairs(rng, PAIRS_SHARE).items():
                name = links_cut(self._office.client_address(gateway))
                stack.enter_context(self._disturbances.recorded(name))
                stack.callback(self._office.join, gateway)
                self._office.cut_off(gateway, *rng.choice(MODES), relays)
            yield

    async def check_calm_pairs(
        self, client: StandInClient, rng: random.Random, seen: list[ClientResult], verdict: Verdict
    ) -> None:
        """Check what each gateway serves while links are cut pair by pair."""
        with self._cut_pairs(rng):
            await asyncio.gather(
                *(self._use(client, one, rng, seen) for one in self._office.gateways)
            )
            for one in self._office.gateways:
                served = await self._served(client, [one], rng, seen)
                verdict.note_violation(
                    served < MIN_SHARE_OF_PAIRS * CALLS,
                    f"{one.plan.name} served {served} of {CALLS} while links were cut by pair",
                )

    async def check_calm(
        self, client: StandInClient, rng: random.Random, seen: list[ClientResult], verdict: Verdict
    ) -> None:
        """Compare first tries at a gateway that is cut off with those at the others.

        Called when no other fault is injected.
        """
        cut, *others = rng.sample(self._office.gateways, len(self._office.gateways))
        with self._cut_off(cut, rng):
            await asyncio.sleep(SETTLED_S)
            at_cut = await self._served(client, [cut], rng, seen)
            elsewhere = await self._served(client, others, rng, seen)
        verdict.counts["gateways cut off"] = self._cuts
        verdict.note_violation(
            at_cut < MIN_SHARE * elsewhere,
            f"{cut.plan.name} was cut off and served {at_cut} of {CALLS}, the others {elsewhere}",
        )

    async def _use(
        self,
        client: StandInClient,
        gateway: Daemon,
        rng: random.Random,
        seen: list[ClientResult],
    ) -> None:
        """Send calls to a gateway for `SETTLED_S`, in which it finds out which links are cut."""
        until_s = time.monotonic() + SETTLED_S
        while time.monotonic() < until_s:
            address = self._office.client_address(gateway)
            seen.append(await client.send(address, rng.choice(ROUTES)))
            await asyncio.sleep(CALL_PAUSE_S)

    async def _served(
        self,
        client: StandInClient,
        gateways: list[Daemon],
        rng: random.Random,
        seen: list[ClientResult],
    ) -> int:
        results = [
            await client.send(
                self._office.client_address(gateways[number % len(gateways)]), rng.choice(ROUTES)
            )
            for number in range(CALLS)
        ]
        seen += results
        return sum(one.status == 200 and one.complete for one in results)
