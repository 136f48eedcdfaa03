"""A simulated deployment whose upstreams run several builds, with clients that resume streams."""

from __future__ import annotations

import asyncio
import dataclasses
import re
from collections.abc import Sequence
from dataclasses import dataclass

from ...forwarding.call import Call
from ...placement import AdapterName
from ...requests import key_digest
from ...routes import (
    Document,
    DocumentLimits,
    Route,
    RouteKind,
    RouteTable,
    ServiceSpec,
    WeightedService,
)
from .fake_upstreams import RecordedReply
from .placing_office import DEADLINE_MS, STEP_MS
from .signal_office import EVENTS, HOST, SignalOffice
from .signalling_upstream import ENGINES, PLAIN, SPEC, SignallingUpstream

SERVED_MS = 400
"""Time within which a call has its final answer, where nothing is awaited."""
SPLIT = "split"
"""A route to both services."""


@dataclass(slots=True)
class StreamAttempt:
    """One attempt of a client, and what it got."""

    attempt: str
    reply: RecordedReply
    task: asyncio.Task[None]

    @property
    def builds(self) -> set[str]:
        """Builds that wrote its events."""
        return set(re.findall(r"data: (\S+)", self.reply.body.decode()))

    @property
    def numbers(self) -> list[int]:
        """Numbers of its events."""
        return [int(number) for number in re.findall(r"id: (\d+)", self.reply.body.decode())]


class StreamOffice(SignalOffice):
    """Engines and plain upstreams with the given builds; `break_off` ends the present streams.

    Parameters
    ----------
    builds : sequence of str
        Build of each engine.
    plain_builds : sequence of str
        Build of each plain upstream.
    """

    def __init__(
        self,
        gateways: int,
        builds: Sequence[str],
        plain_builds: Sequence[str] = ("p1",),
        routes_move_to: str | None = None,
    ) -> None:
        self.routes_move_to = routes_move_to
        super().__init__(gateways, len(builds), len(plain_builds))
        for service, names in ((ENGINES, builds), (PLAIN, plain_builds)):
            for at, build in enumerate(names):
                upstream = self.upstreams[f"{service}-{at}"]
                upstream.record = dataclasses.replace(upstream.record, build=build)
        for name in list(self.gateways):
            self.gateways[name] = self._gateway(name)
        self.begin_leader()

    def table(self) -> RouteTable:
        table = super().table()
        targets = (WeightedService(PLAIN, 1), WeightedService(ENGINES, 1))
        kind = RouteKind.RESUMABLE_STREAM
        split = Route(SPLIT, HOST, f"/{SPLIT}/", kind, DEADLINE_MS, 500, 1, targets, 2, 300, True)
        services = (ServiceSpec(ENGINES, SPEC), ServiceSpec(PLAIN, None))
        routes = (*table.document.routes, split)
        organisations = table.document.organisations
        return RouteTable(Document(1, routes, services, DocumentLimits(), organisations))

    def engine(self, at: int) -> SignallingUpstream:
        """Return an engine by its number."""
        return self.upstreams[f"{ENGINES}-{at}"]

    def begin(
        self,
        gateway: str,
        attempt: str,
        resumes: str = "",
        after: int | None = None,
        path: str = ENGINES,
        body: bytes = b"one",
        organisation: str = "",
    ) -> StreamAttempt:
        """Send one attempt of a client, without waiting for its end."""
        now_ms = self.clock.now_ms()
        adapter = AdapterName("base", "a0") if path in (ENGINES, SPLIT) else None
        target = f"/{path}/x"
        call = Call(
            attempt,
            "POST",
            target,
            target,
            HOST,
            (),
            body,
            now_ms,
            now_ms + DEADLINE_MS,
            adapter,
            resume_after=after,
            key_digest=key_digest(organisation) if organisation else None,
            resumes=resumes,
        )
        reply = RecordedReply()
        task = asyncio.ensure_future(self._forwarders[gateway].serve(call, reply))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)
        return StreamAttempt(attempt, reply, task)

    async def steps(self, ms: int) -> None:
        """Let time pass."""
        for _ in range(ms // STEP_MS):
            await self.step()

    async def begun_at(
        self, gateway: str, attempt: str, path: str = ENGINES, organisation: str = ""
    ) -> str:
        """Begin a stream, let its client leave after the first event, and return its build."""
        sent = self.begin(gateway, attempt, path=path, organisation=organisation)
        while not sent.numbers:
            await self.step()
        sent.task.cancel()
        await self.step()
        (build,) = sent.builds
        return build

    async def begun_on_each(self, gateway: str, prefix: str) -> dict[str, str]:
        """Begin as many streams as there are engines; return the build of each by attempt."""
        engines = sum(one.record.service == ENGINES for one in self.upstreams.values())
        sent = [self.begin(gateway, f"{prefix}-{at}") for at in range(engines)]
        while not all(one.numbers for one in sent):
            await self.step()
        for one in sent:
            one.task.cancel()
        await self.step()
        return {one.attempt: next(iter(one.builds)) for one in sent}

    async def resume(
        self,
        gateway: str,
        resumes: str,
        attempt: str = "second",
        path: str = ENGINES,
        body: bytes = b"one",
        organisation: str = "",
    ) -> StreamAttempt:
        """Take a stream up after its first event, and wait for the answer."""
        sent = self.begin(gateway, attempt, resumes, 1, path, body, organisation)
        for _ in range(SERVED_MS // STEP_MS):
            if not sent.reply.ended:
                await self.step()
        return sent

    @staticmethod
    def goes_on(sent: StreamAttempt) -> bool:
        """Whether an attempt brought the rest of a stream."""
        return sent.reply.ended == "whole" and sent.numbers == list(range(2, EVENTS + 1))

    @property
    def runs(self) -> int:
        """Number of requests that upstreams received."""
        return sum(len(one.arrivals) for one in self.upstreams.values())
