"""Scenarios of the real programs with clients that take their streams up again."""

from __future__ import annotations

import asyncio
import logging
import random
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from soak.daemon import Daemon
from soak.office import Office

from ..platform.standin.operator import ENGINES, PLAIN, StandInOperator
from ..platform.standin.stream_caller import StreamAttempt, StreamCaller, StreamResult
from ..platform.standin.upstream import StandInUpstream

CALLERS = 12
EVENTS = 8
BREAK_SHARE = 0.1
LEAVING_SHARE = 0.25
START_S = 60.0
"""Time within which a deployment serves after its start, on any host that runs the tests."""


@dataclass(slots=True)
class StreamScenario:
    """Callers who get resumable streams in a loop, while a script changes the engines.

    Engines break some answers off, and callers leave some midway; all of these streams are taken up
    at any gateway.

    Attributes
    ----------
    builds : sequence of str
        Software version of each engine.
    names_attempt : bool
        Whether callers name the attempt that brought the first event.
    events : int
        Events of a whole stream.
    break_share : float
        Share of the answers that engines break off.
    parts : callable
        Draws the shared parts of a prompt.
    results : list of StreamResult
        All streams that ended, in order.
    out : set of str
        Gateways that clients are not sent to, by name.
    keep : Path or None
        Folder for the settings and logs of all programs; None if they are not kept.
    office : Office
        The processes and upstreams; set once the scenario runs.
    """

    seed: int
    builds: Sequence[str]
    names_attempt: bool = True
    events: int = EVENTS
    break_share: float = BREAK_SHARE
    parts: Callable[[random.Random], tuple[str, ...]] = lambda rng: ()
    results: list[StreamResult] = field(default_factory=list)
    out: set[str] = field(default_factory=set)
    keep: Path | None = None
    office: Office = field(init=False)
    _session: aiohttp.ClientSession = field(init=False)

    async def run(self, script: Callable[[StreamScenario], Awaitable[None]]) -> None:
        """Start everything, and run `script` once all gateways serve."""
        logging.getLogger("aiohttp").setLevel(logging.CRITICAL)
        rng = random.Random(self.seed)
        plan = [(ENGINES, True)] * len(self.builds) + [(PLAIN, False)]
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1))
        with self._folder() as folder:
            self.office = Office(Path(folder), rng, plan)
            operator = StandInOperator(self.office.control_addresses, rng)
            caller = StreamCaller(rng, lambda: self.draw_gateway(rng), self.names_attempt)
            try:
                await self.office.start(self.builds)
                for engine in self.engines:
                    engine.events, engine.break_share = self.events, self.break_share
                while not await operator.put(1):
                    await asyncio.sleep(0.1)
                load = [asyncio.ensure_future(self._call(caller, rng)) for _ in range(CALLERS)]
                await self._wait_until_served()
                self.results.clear()
                await script(self)
                for task in load:
                    task.cancel()
                await asyncio.gather(*load, return_exceptions=True)
            finally:
                await self._session.close()
                await caller.close()
                await operator.close()
                await self.office.stop()

    def _folder(self) -> AbstractContextManager[str]:
        if self.keep is None:
            return tempfile.TemporaryDirectory(prefix="streams-")
        return nullcontext(str(self.keep))

    @property
    def engines(self) -> list[StandInUpstream]:
        """The engines, in the order of `builds`."""
        return [one for one in self.office.upstreams if one.service == ENGINES]

    def draw_gateway(self, rng: random.Random) -> str:
        """Draw the address of a gateway that clients are sent to."""
        serving = [one for one in self.office.gateways if one.plan.name not in self.out]
        return self.office.client_address(rng.choice(serving))

    async def restart_gateway(self, gateway: Daemon) -> None:
        """Kill a gateway and start it again; clients stay away until it says that it is ready."""
        self.out.add(gateway.plan.name)
        await gateway.kill()
        await gateway.start(False)
        while not await self._is_ready(gateway):
            await asyncio.sleep(0.05)
        self.out.discard(gateway.plan.name)

    async def _is_ready(self, gateway: Daemon) -> bool:
        try:
            async with self._session.get(self.office.ready_url(gateway)) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def _wait_until_served(self) -> None:
        began_s = time.monotonic()
        wanted = {self.office.client_address(one) for one in self.office.gateways}
        while wanted - {one.attempts[0].gateway for one in self.results if one.began}:
            if time.monotonic() - began_s > START_S:
                raise RuntimeError(f"not all gateways served within {START_S} s")
            await asyncio.sleep(0.1)

    async def _call(self, caller: StreamCaller, rng: random.Random) -> None:
        while True:
            leaves = rng.random() < LEAVING_SHARE
            leaves_after = rng.randrange(1, self.events) if leaves else None
            result = await caller.stream(leaves_after, parts=self.parts(rng))
            self.results.append(result)
            await asyncio.sleep(rng.uniform(0.0, 0.04))

    # What the callers saw

    @property
    def mixed(self) -> list[StreamResult]:
        """Streams that hold events of several software versions."""
        return [one for one in self.results if len(one.builds) > 1]

    @property
    def broken(self) -> list[StreamResult]:
        """Streams with a hole or a repeat."""
        return [one for one in self.results if one.has_hole]

    @property
    def taken_up(self) -> list[StreamAttempt]:
        """Attempts that took a stream up, with events still missing."""
        attempts = (attempt for one in self.results for attempt in one.resumed)
        return [attempt for attempt in attempts if attempt.after < self.events]

    def share_that_begins(self, from_s: float = 0.0, until_s: float = float("inf")) -> float:
        """Return the share of new streams, of a time span, whose first attempt brings an event."""
        new = [one for one in self.results if from_s <= one.attempts[0].sent_s < until_s]
        return sum(one.began for one in new) / max(len(new), 1)

    def share_that_goes_on(self) -> float:
        """Return the share of attempts to take a stream up that bring an event."""
        taken_up = self.taken_up
        return sum(bool(one.events) for one in taken_up) / max(len(taken_up), 1)

    def describe(self) -> str:
        """Return what happened, for messages."""
        ends = Counter(f"{one.status} {one.reason}" for one in self.taken_up if not one.events)
        return (
            f"{len(self.results)} streams, {len(self.mixed)} of several versions, "
            f"{len(self.broken)} with a hole; {self.share_that_begins():.3f} begin, "
            f"{self.share_that_goes_on():.3f} of {len(self.taken_up)} go on; others: {ends}"
        )
