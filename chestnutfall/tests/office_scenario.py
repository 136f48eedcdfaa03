"""Scenarios of the real programs with upstreams that send signals."""

from __future__ import annotations

import asyncio
import logging
import random
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Collection, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from soak.office import UPSTREAMS, Office

from ..platform.standin.client import ClientResult, StandInClient
from ..platform.standin.operator import ENGINES, PLAIN, StandInOperator
from ..platform.standin.signal_history import RequestsAfterSignal
from ..platform.standin.upstream import StandInUpstream

CALLERS = 14
ROUTES = ("draft", "long", "again", "once")
BEFORE_S = 3.0
START_S = 60.0
"""Time within which a deployment serves after its start, on any host that runs the tests."""


@dataclass(frozen=True, slots=True)
class SentRequest:
    """The outcome of a request, when it was sent in seconds, and the IP of its gateway."""

    sent_s: float
    result: ClientResult
    gateway: str = ""


@dataclass(slots=True)
class OfficeScenario:
    """Callers who send requests in a loop, while a script changes what upstreams signal.

    Controllers, gateways and upstreams run as in a soak run, without its faults.

    Attributes
    ----------
    callers : int
        Number of concurrent callers.
    routes : tuple of str
        Routes that they draw from.
    upstreams : sequence of tuple
        Service of each upstream, and whether it is an engine.
    is_whole : bool
        Whether there are the second services, and relays between daemons.
    answers : list of SentRequest
        Outcomes of all requests that ended, in order.
    office : Office
        The processes and upstreams; set once the scenario runs.
    """

    seed: int
    callers: int = CALLERS
    routes: tuple[str, ...] = ROUTES
    upstreams: Sequence[tuple[str, bool]] = UPSTREAMS
    is_whole: bool = False
    answers: list[SentRequest] = field(default_factory=list)
    office: Office = field(init=False)

    async def run(self, script: Callable[[OfficeScenario], Awaitable[None]]) -> None:
        """Start everything, let callers send for `BEFORE_S` once served, and run `script`."""
        logging.getLogger("aiohttp").setLevel(logging.CRITICAL)
        rng = random.Random(self.seed)
        with tempfile.TemporaryDirectory(prefix="signals-") as folder:
            self.office = Office(Path(folder), rng, self.upstreams, self.is_whole)
            operator = StandInOperator(self.office.control_addresses, rng)
            client = StandInClient(rng)
            load: list[asyncio.Future[None]] = []
            try:
                await self.office.start()
                while not await operator.put(1):
                    await asyncio.sleep(0.1)
                load += (
                    asyncio.ensure_future(self._call(client, rng)) for _ in range(self.callers)
                )
                await self._wait_until_served()
                await asyncio.sleep(BEFORE_S)
                await script(self)
            finally:
                for task in load:
                    task.cancel()
                await client.close()
                await operator.close()
                await self.office.stop()

    async def _wait_until_served(self) -> None:
        """Wait until each gateway has served each route; on a busy host programs start late."""
        began_s = time.monotonic()
        wanted = {(one.plan.ip, route) for one in self.office.gateways for route in self.routes}
        while wanted - self._served():
            if time.monotonic() - began_s > START_S:
                raise RuntimeError(f"not served within {START_S} s: {wanted - self._served()}")
            await asyncio.sleep(0.1)

    def _served(self) -> set[tuple[str, str]]:
        return {(one.gateway, one.result.route) for one in self.answers if one.result.status == 200}

    async def _call(self, client: StandInClient, rng: random.Random) -> None:
        while True:
            gateway = rng.choice(self.office.gateways)
            sent_s = time.monotonic()
            result = await client.send(self.office.client_address(gateway), rng.choice(self.routes))
            self.answers.append(SentRequest(sent_s, result, gateway.plan.ip))
            await asyncio.sleep(rng.uniform(0.0, 0.04))

    def engine_and_plain(self) -> tuple[StandInUpstream, StandInUpstream]:
        """Return the first engine and the first plain upstream."""
        first = {one.service: one for one in reversed(self.office.upstreams)}
        return first[ENGINES], first[PLAIN]

    def success_ratio(self, from_s: float, until_s: float = float("inf")) -> float:
        """Return the share of the requests sent in a time span that succeeded completely."""
        sent = [one.result for one in self.answers if from_s <= one.sent_s < until_s]
        return sum(result.status == 200 and result.complete for result in sent) / max(len(sent), 1)

    def success_ratio_at(self, gateways: Collection[str], from_s: float) -> float:
        """Return the share of the requests sent to some gateways since `from_s` that succeeded."""
        sent = [
            one.result for one in self.answers if one.sent_s >= from_s and one.gateway in gateways
        ]
        return sum(result.status == 200 and result.complete for result in sent) / max(len(sent), 1)

    def failures(self, from_s: float) -> Counter[str]:
        """Return how requests sent since `from_s` ended that did not succeed, for messages."""
        failed = (
            one
            for one in self.answers
            if one.sent_s >= from_s and not (one.result.status == 200 and one.result.complete)
        )
        return Counter(
            f"{one.gateway} {one.result.route} {one.result.status} {one.result.reason}"
            f" after {one.result.took_s:.1f} s"
            for one in failed
        )

    def refused(self, from_s: float, until_s: float) -> list[ClientResult]:
        """Return requests sent in a time span whose answer promises that they did not run."""
        sent = (one.result for one in self.answers if from_s <= one.sent_s < until_s)
        return [result for result in sent if result.says_not_run]

    def requests_in_backoffs(self) -> Iterator[RequestsAfterSignal]:
        """Yield the requests that arrived within each backoff of all upstreams."""
        for history in self.office.run_registry.signals.values():
            yield from history.requests_in_backoffs()

    def requests_after_leaving(self) -> Iterator[RequestsAfterSignal]:
        """Yield the requests that arrived at upstreams too late after they signalled to leave."""
        for history in self.office.run_registry.signals.values():
            yield from history.requests_after_leaving()


async def request_backoff(upstreams: list[StandInUpstream], backoff: str, for_s: float) -> None:
    """Let upstreams refuse all requests for `for_s` seconds with `backoff` as Retry-After."""
    for one in upstreams:
        one.backoff = backoff
    await asyncio.sleep(for_s)
    for one in upstreams:
        one.backoff = None
