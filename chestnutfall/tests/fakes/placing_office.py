"""Gateways, one leader after another and upstreams that say things, without a network."""

from __future__ import annotations

import asyncio
import random
from abc import ABC, abstractmethod
from dataclasses import replace

from ...clock import ManualClock
from ...control.upstream_record import UpstreamRecord
from ...forwarding.call import Call
from ...forwarding.place import SelectionCriteria
from ...placement import AdapterName, Order
from ...routes import Route, RouteKind, ServiceSpec, WeightedService
from .placing_gateway import PlacingGateway
from .placing_leader import PlacingLeader
from .signalling_upstream import ADAPTERS, ENGINES, PLAIN, SPEC, SignallingUpstream

STEP_MS = 8
DEADLINE_MS = 1_000


class PlacingOffice(ABC):
    """Everything but how a call is made.

    Attributes
    ----------
    upstreams : dict of str to SignallingUpstream
        All that serve, by instance.
    """

    def __init__(self, gateways: int, engines: int = 3, plain: int = 3, seed: int = 1) -> None:
        # The loop of a test case keeps the stack of each callback; that is most of the time here.
        asyncio.get_running_loop().set_debug(False)
        self.clock = ManualClock(60_000)
        self.rng = random.Random(seed)
        self.upstreams: dict[str, SignallingUpstream] = {}
        for service, count in ((ENGINES, engines), (PLAIN, plain)):
            for at in range(count):
                name = f"{service}-{at}"
                self.upstreams[name] = SignallingUpstream(
                    UpstreamRecord(name, service, "1:1", "dc")
                )
        self.gateways: dict[str, PlacingGateway] = {}
        for at in range(gateways):
            self.gateways[f"g{at}"] = self._gateway(f"g{at}")
        self.leader: PlacingLeader | None = None
        self._calls: set[asyncio.Task[None]] = set()
        self._due: dict[str, float] = {}
        self.begin_leader()

    def _gateway(self, name: str) -> PlacingGateway:
        present = self.upstreams.values()
        return PlacingGateway(name, present, lambda: len(self.gateways), self.clock)

    def on_order(self, order: Order) -> None:
        """Take an order to an engine; here engines hold what they held."""
        del order

    def begin_leader(self) -> None:
        """Let a controller lead that knows nothing of the leader before."""
        self.lose_leader()
        self.leader = PlacingLeader(self.upstreams.values, self.on_order, self.clock)
        for gateway in self.gateways.values():
            if not gateway.cut:
                gateway.join(self.leader)

    def lose_leader(self) -> None:
        """Leave all gateways without a leader."""
        self.leader = None
        for gateway in self.gateways.values():
            gateway.lose()

    def cut(self, name: str) -> None:
        """Cut a gateway off from every leader."""
        gateway = self.gateways[name]
        gateway.cut = True
        gateway.lose()
        if self.leader is not None:
            self.leader.part(name)

    def restart(self, name: str) -> None:
        """Let a gateway begin anew, knowing nothing."""
        self.cut(name)
        self.gateways[name] = self._gateway(name)
        if self.leader is not None:
            self.gateways[name].join(self.leader)

    def limit(self, instance: str, text: str | None) -> int:
        """Let an upstream name a limit from now on; the present time."""
        self.upstreams[instance].limit = text
        return self.clock.now_ms()

    async def play(
        self,
        ms: int,
        per_s: dict[str, float],
        gateways: list[str] | None = None,
        organisation: str = "",
    ) -> None:
        """Let clients call so often a second, by service, through some gateways."""
        through = gateways or list(self.gateways)
        for _ in range(ms // STEP_MS):
            for service, rate in per_s.items():
                key = f"{service}/{organisation}"
                self._due[key] = self._due.get(key, 0.0) + rate * STEP_MS / 1000
                while self._due[key] >= 1:
                    self._due[key] -= 1
                    self.call(service, self.rng.choice(through), organisation)
            await self.step()

    async def step(self) -> None:
        """Let a moment pass."""
        await self.clock.advance(STEP_MS)
        leader = self.leader
        if leader is None:
            return
        for gateway in self.gateways.values():
            gateway.exchange(leader)
        leader.decide()
        for gateway in self.gateways.values():
            gateway.exchange(leader)
        await self.clock.settle()

    def call(self, service: str, name: str, organisation: str = "") -> None:
        """Make a call."""
        task = asyncio.ensure_future(self._call(service, self.gateways[name], organisation))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    @abstractmethod
    async def _call(self, service: str, gateway: PlacingGateway, organisation: str) -> None:
        """Make one call, to its end."""

    def _wanted(self, service: str, now_ms: int, organisation: str) -> SelectionCriteria:
        is_engine = service == ENGINES
        adapter = AdapterName("base", f"a{self.rng.randrange(ADAPTERS)}") if is_engine else None
        until_ms = now_ms + DEADLINE_MS
        call = Call("id", "POST", "/x", "/x", "h", (), b"", now_ms, until_ms, adapter)
        targets = (WeightedService(service, 1),)
        route = Route("r", "h", "/", RouteKind.IDEMPOTENT, DEADLINE_MS, 500, 1, targets, 2)
        spec = ServiceSpec(service, SPEC if is_engine else None)
        return replace(
            SelectionCriteria(call, route, spec, (), until_ms), organisation=organisation
        )

    async def stop(self) -> None:
        """End every call."""
        for call in self._calls:
            call.cancel()
        await asyncio.gather(*self._calls, return_exceptions=True)
