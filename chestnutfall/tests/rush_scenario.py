"""A scenario of the real programs in which most new connections go to one gateway."""

from __future__ import annotations

import asyncio
import random
import statistics
import time
from collections import Counter
from dataclasses import dataclass, field
from http.client import HTTPException
from urllib.request import urlopen

from soak.daemon import Daemon
from soak.processor_share import ProcessorShare

from ..platform.standin.connecting_client import (
    UNREAD_STATUS,
    ConnectingAttempt,
    ConnectingClient,
)
from ..platform.standin.operator import PLAIN
from .office_scenario import OfficeScenario

WARM_S, USUAL_S = 1.0, 2.0
"""Time until the programs are warm, and for which their usual use of the processor is measured."""
CALM_S = 3.0
SETTLED_S = 3.0
"""Time after the beginning of a rush from which on what is read is served as before."""
IN_TIME_S = 1.0
READY_S, READY_EACH_S = 1.0, 1.0
"""How long and how often a load balancer asks whether a gateway is ready."""
MAX_MISSES = 2
"""Looks in a row without an answer after which it gives a gateway no new connections."""
UPSTREAMS = ((PLAIN, False),) * 12
"""So many that only gateways are short of anything."""
RETRY_S = 0.03
MAX_ATTEMPTS = 4


@dataclass(slots=True)
class RushScenario:
    """Callers that open a connection for each request, first anywhere, then mostly at one gateway.

    Attributes
    ----------
    callers : int
        Number of callers.
    use : float
        Processor time that the usual load of the rushed gateway takes, as a part of what it is
        given from then on. Measured first, so that it is the same on fast and slow machines.
    length_s : float
        Time for which the rush lasts.
    rushed_share : float
        Part of first attempts that go to the rushed gateway meanwhile.
    pause_s : tuple of float
        Shortest and longest time between two requests of a caller.
    attempts : list of ConnectingAttempt
        All attempts in the order of their ends.
    requests : list of list of ConnectingAttempt
        The attempts of each request.
    missed_s : list of float
        When a look at a gateway got no answer.
    out : list of str
        Gateways that a load balancer took out, once for each look at which they were out.
    rushed : str
        Address of the gateway that gets most connections.
    share : float
        Part of a processor that the rushed gateway was given.
    limited_s : float
        When it was given no more than that.
    began_s, ended_s : float
        When the rush began and ended.
    log : str
        What the rushed gateway logged, which names the requests that it read.
    """

    seed: int
    callers: int
    use: float
    length_s: float
    rushed_share: float = 0.9
    pause_s: tuple[float, float] = (0.1, 0.3)
    attempts: list[ConnectingAttempt] = field(default_factory=list)
    requests: list[list[ConnectingAttempt]] = field(default_factory=list)
    missed_s: list[float] = field(default_factory=list)
    out: list[str] = field(default_factory=list)
    rushed: str = ""
    share: float = 1.0
    limited_s: float = 0.0
    began_s: float = float("inf")
    ended_s: float = float("inf")
    log: str = ""

    def run(self) -> None:
        """Start everything, play, and stop everything."""
        asyncio.run(OfficeScenario(self.seed, 3, ("again",), UPSTREAMS).run(self._script))

    async def _script(self, play: OfficeScenario) -> None:
        rng = random.Random(self.seed)
        gateways = [play.office.client_address(one) for one in play.office.gateways]
        self.rushed = gateways[0]
        load = [asyncio.ensure_future(self._call(rng, gateways)) for _ in range(self.callers)]
        load.append(asyncio.ensure_future(self._look_at_readiness(play)))
        self.share = min(await _usual_use(play.office.gateways[0]) / self.use, 1.0)
        small = ProcessorShare(play.office.gateways[0], self.share)
        small.begin()
        self.limited_s = time.monotonic()
        await asyncio.sleep(CALM_S)
        self.began_s = time.monotonic()
        await asyncio.sleep(self.length_s)
        self.ended_s = time.monotonic()
        await asyncio.sleep(CALM_S)
        for task in load:
            task.cancel()
        await asyncio.gather(*load, return_exceptions=True)
        small.end()
        self.log = play.office.gateways[0].log_text()

    async def _call(self, rng: random.Random, gateways: list[str]) -> None:
        client = ConnectingClient(rng)
        while True:
            is_rush = self.began_s <= time.monotonic() < self.ended_s
            first = self.rushed if is_rush and rng.random() < self.rushed_share else None
            gateway = first or rng.choice(gateways)
            tries: list[ConnectingAttempt] = []
            while len(tries) < MAX_ATTEMPTS:
                attempt = await client.send(gateway, "again")
                tries.append(attempt)
                self.attempts.append(attempt)
                if attempt.status == 200:
                    break
                gateway = rng.choice([one for one in gateways if one != gateway])
                await asyncio.sleep(RETRY_S)
            self.requests.append(tries)
            await asyncio.sleep(rng.uniform(*self.pause_s))

    async def _look_at_readiness(self, play: OfficeScenario) -> None:
        misses: Counter[str] = Counter()
        while True:
            await asyncio.sleep(READY_EACH_S)
            for gateway in play.office.gateways:
                name = gateway.plan.name
                # In a thread: the event loop of the callers is late itself.
                is_ready = await asyncio.to_thread(_is_ready, play.office.ready_url(gateway))
                misses[name] = 0 if is_ready else misses[name] + 1
                if not is_ready:
                    self.missed_s.append(time.monotonic())
                if misses[name] >= MAX_MISSES:
                    self.out.append(name)

    @property
    def others(self) -> set[str]:
        """Gateways that get few connections in the rush."""
        return {one.gateway for one in self.attempts} - {self.rushed}

    @property
    def unread(self) -> int:
        """Number of connections that were refused, or closed with nothing read."""
        return sum(self._is_unread(one) for one in self.attempts)

    def share_served(self, gateways: set[str]) -> float:
        """Return the share of what was read in the settled rush that was served whole."""
        read = self.read(gateways, self.began_s + SETTLED_S, self.ended_s)
        return sum(one.whole for one in read) / max(len(read), 1)

    def share_that_finds_a_gateway(self) -> float:
        """Return the share of the requests of the settled rush that some attempt served."""
        from_s = self.began_s + SETTLED_S
        tries = [one for one in self.requests if from_s <= one[0].sent_s < self.ended_s]
        return sum(one[-1].whole for one in tries) / max(len(tries), 1)

    def stayed_in(self) -> bool:
        """Whether a load balancer took no gateway out, and missed none in the settled rush."""
        settled_s = self.began_s + SETTLED_S
        return not self.out and not any(at_s >= settled_s for at_s in self.missed_s)

    def read(self, gateways: set[str], from_s: float, until_s: float) -> list[ConnectingAttempt]:
        """Return attempts of a time span that were read, or left without an answer."""
        sent = (one for one in self.attempts if from_s <= one.sent_s < until_s)
        return [one for one in sent if one.gateway in gateways and not self._is_unread(one)]

    def _is_unread(self, attempt: ConnectingAttempt) -> bool:
        return attempt.status == UNREAD_STATUS and attempt.request_id not in self.log

    def describe(self) -> str:
        """Return what happened at each gateway, for messages."""
        spans = {
            "usual": (0.0, self.limited_s),
            "before": (self.limited_s, self.began_s),
            "rush": (self.began_s + SETTLED_S, self.ended_s),
            "after": (self.ended_s + 1.0, float("inf")),
        }
        lines = (
            self._describe(name, gateway, *span)
            for name, span in spans.items()
            for gateway in sorted({self.rushed} | self.others)
        )
        share = f"{self.share:.2f} of a processor for the rushed gateway"
        return "\n".join((share, *lines, f"taken out: {self.out}"))

    def _describe(self, name: str, gateway: str, from_s: float, until_s: float) -> str:
        spanned = (one for one in self.attempts if from_s <= one.sent_s < until_s)
        sent = [one for one in spanned if one.gateway == gateway]
        read = self.read({gateway}, from_s, until_s)
        in_time = sum(one.whole and one.took_s <= IN_TIME_S for one in read) / max(len(read), 1)
        took_s = statistics.median([one.took_s for one in read]) if read else 0.0
        ends = Counter(f"{one.status} {one.reason}" for one in sent)
        which = "rushed" if gateway == self.rushed else "other"
        return (
            f"{name}, {which}: {len(sent)} sent, {len(read)} read, {in_time:.3f} of these within "
            f"{IN_TIME_S} s, median {took_s:.3f} s; {dict(ends)}"
        )


async def _usual_use(gateway: Daemon) -> float:
    """Return the part of a processor that a gateway uses for its usual load."""
    await asyncio.sleep(WARM_S)
    used_s, from_s = gateway.processor_s(), time.monotonic()
    await asyncio.sleep(USUAL_S)
    return (gateway.processor_s() - used_s) / (time.monotonic() - from_s)


def _is_ready(url: str) -> bool:
    try:
        with urlopen(url, timeout=READY_S) as resp:
            return bool(resp.status == 200)
    except (OSError, HTTPException):
        # No answer means the same to a load balancer.
        return False
