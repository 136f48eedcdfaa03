"""The real programs before upstreams that say things of themselves."""

from __future__ import annotations

import asyncio
import logging
import random
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from soak.office import Office

from ..platform.standin.client import ClientResult, StandInClient
from ..platform.standin.operator import ENGINES, PLAIN, StandInOperator
from ..platform.standin.signal_history import RequestsAfterSignal
from ..platform.standin.upstream import StandInUpstream

CALLERS = 14
ROUTES = ("draft", "long", "again", "once")
BEFORE_S = 3.0


@dataclass(frozen=True, slots=True)
class Answered:
    """What a caller got, and when it had sent its request."""

    sent_s: float
    seen: ClientResult


@dataclass(slots=True)
class OfficePlay:
    """One play: callers in a loop, and a script of what upstreams say.

    Attributes
    ----------
    callers : int
        How many call at a time.
    answers : list of Answered
        What callers got.
    """

    seed: int
    callers: int = CALLERS
    answers: list[Answered] = field(default_factory=list)
    office: Office = field(init=False)

    async def run(self, script: Callable[[OfficePlay], Awaitable[None]]) -> None:
        """Play `script` from the moment at which all is served."""
        logging.getLogger("aiohttp").setLevel(logging.CRITICAL)
        rng = random.Random(self.seed)
        with tempfile.TemporaryDirectory(prefix="signals-") as folder:
            self.office = Office(Path(folder), rng)
            operator = StandInOperator(self.office.control_addresses, rng)
            client = StandInClient(rng)
            try:
                await self.office.start()
                while not await operator.put(1):
                    await asyncio.sleep(0.1)
                load = [asyncio.ensure_future(self._call(client, rng)) for _ in range(self.callers)]
                await asyncio.sleep(BEFORE_S)
                await script(self)
                for task in load:
                    task.cancel()
            finally:
                await client.close()
                await operator.close()
                await self.office.stop()

    async def _call(self, client: StandInClient, rng: random.Random) -> None:
        while True:
            gateway = self.office.front(rng.choice(self.office.gateways))
            sent_s = time.monotonic()
            seen = await client.send(gateway, rng.choice(ROUTES))
            self.answers.append(Answered(sent_s, seen))
            await asyncio.sleep(rng.uniform(0.0, 0.04))

    def one_of_each(self) -> tuple[StandInUpstream, StandInUpstream]:
        """An engine and a plain upstream."""
        first = {one.service: one for one in reversed(self.office.upstreams)}
        return first[ENGINES], first[PLAIN]

    def served(self, from_s: float, until_s: float = float("inf")) -> float:
        """Part of the calls sent in a time that got a success."""
        sent = [one.seen for one in self.answers if from_s <= one.sent_s < until_s]
        return sum(seen.status == 200 and seen.complete for seen in sent) / max(len(sent), 1)

    def refused(self, from_s: float, until_s: float) -> list[ClientResult]:
        """Calls sent in a time that were refused as not run."""
        sent = (one.seen for one in self.answers if from_s <= one.sent_s < until_s)
        return [seen for seen in sent if seen.says_not_run]

    def in_backoffs(self) -> Iterator[RequestsAfterSignal]:
        """What came while upstreams wanted nothing."""
        for history in self.office.book.signals.values():
            yield from history.requests_in_backoffs()

    def after_leaving(self) -> Iterator[RequestsAfterSignal]:
        """What came to upstreams that leave."""
        for history in self.office.book.signals.values():
            yield from history.requests_after_leaving()


async def ask_for_time(upstreams: list[StandInUpstream], backoff: str, for_s: float) -> None:
    """Let upstreams turn all away for some time."""
    for one in upstreams:
        one.backoff = backoff
    await asyncio.sleep(for_s)
    for one in upstreams:
        one.backoff = None
