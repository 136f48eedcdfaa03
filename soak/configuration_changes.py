"""Changes of the configuration, one shortly after another, and clients of what they change."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

from chestnutfall.platform.standin.client import ClientResult, StandInClient
from chestnutfall.platform.standin.document_change import (
    SHIFTING,
    SHIFTING_STREAM,
    SHORTEST_IDLE_MS,
    WHOLE,
    ChangeKind,
    DocumentState,
)
from chestnutfall.platform.standin.operator import StandInOperator
from chestnutfall.platform.standin.tenants import GUEST, STEADY

from .office import Office
from .verdict import Verdict

SERIES = (2, 5)
INTERVALS_S = (0.03, 0.3)
PAIR_SHARE = 0.25
"""Part of the changes that are sent together with the next version."""
PAUSE_S = (0.1, 0.6)
ROUTES = ("once", "again", "draft", "long", SHIFTING, SHIFTING, SHIFTING_STREAM, SHIFTING_STREAM)
KEEP_S = 75.0
"""Longer than any gateway keeps a connection without a request."""
CLIENT_PAUSES_S = ((0.0, 0.05), (0.2, 0.6), (0.97 * SHORTEST_IDLE_MS / 1000, 1.03))
GUEST_SHARE = 0.2


class ConfigurationChanges:
    """Sends versions in series, and checks that what is read is never older than acknowledged.

    Attributes
    ----------
    acknowledged : int
        Latest version whose storage was acknowledged.
    """

    def __init__(self, office: Office, operator: StandInOperator, verdict: Verdict) -> None:
        self._office = office
        self._operator = operator
        self._verdict = verdict
        self._version = 1
        self._state = WHOLE
        self._played: Counter[ChangeKind] = Counter()
        self.acknowledged = 0

    async def put_first(self) -> bool:
        """Send the first version; return whether it was acknowledged."""
        return await self._put(self._version, self._state)

    async def play_until_cancelled(self, rng: random.Random) -> None:
        """Play one series after another until cancelled."""
        while True:
            await self.play_series(rng, rng.choice(list(ChangeKind)))
            await asyncio.sleep(rng.uniform(*PAUSE_S))

    async def play_series(self, rng: random.Random, kind: ChangeKind) -> None:
        """Send changes of one kind at an interval, and read what is in force after them."""
        interval_s = rng.choice(INTERVALS_S)
        puts = []
        for _ in range(rng.randrange(SERIES[0], SERIES[1] + 1)):
            for _ in range(1 + (rng.random() < PAIR_SHARE)):
                puts.append(asyncio.ensure_future(self._change(rng, kind)))
            await asyncio.sleep(interval_s)
        await asyncio.gather(*puts)
        floor = self.acknowledged
        read = await self._operator.read()
        is_stale = read is not None and read < floor
        self._verdict.note_violation(
            is_stale, f"read version {read} after {floor} was acknowledged"
        )

    async def _change(self, rng: random.Random, kind: ChangeKind) -> None:
        self._played[kind] += 1
        self._state = self._state.changed(kind, rng)
        self._version += rng.randrange(1, 3)
        await self._put(self._version, self._state)

    async def _put(self, version: int, state: DocumentState) -> bool:
        is_stored = await self._operator.put(version, state.apply)
        if is_stored:
            self.acknowledged = max(self.acknowledged, version)
        return is_stored

    async def send_until_cancelled(self, rng: random.Random, seen: list[ClientResult]) -> None:
        """Send requests on one connection to each gateway, kept as long as it is open."""
        callers = (self._send(address, rng, seen) for address in self._addresses())
        await asyncio.gather(*callers)

    async def _send(self, address: str, rng: random.Random, seen: list[ClientResult]) -> None:
        client = StandInClient(rng, KEEP_S, connections=1)
        try:
            while True:
                organisation = GUEST if rng.random() < GUEST_SHARE else STEADY
                route = rng.choice(ROUTES)
                seen.append(await client.send(address, route, organisation=organisation))
                await asyncio.sleep(rng.uniform(*rng.choice(CLIENT_PAUSES_S)))
        finally:
            await client.close()

    def _addresses(self) -> list[str]:
        return [self._office.client_address(one) for one in self._office.gateways]

    def check(self, verdict: Verdict) -> None:
        """Add the numbers of changes to the counts."""
        for kind, count in self._played.items():
            verdict.counts[f"change: {kind.value}"] = count
