"""A deployment of gateways, a replaceable leader and upstreams that signal, without a network."""

from __future__ import annotations

import asyncio
import random
from abc import ABC, abstractmethod
from dataclasses import replace

from ...clock import ManualClock
from ...control.control_state import ControlState
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
    """A simulated deployment on a manual clock; subclasses define how a call is made.

    Attributes
    ----------
    upstreams : dict of str to SignallingUpstream
        The serving upstreams by instance.
    gateways : dict of str to PlacingGateway
        The gateways by name.
    leader : PlacingLeader or None
        The present leader, if any.
    state : ControlState
        The replicated state, which outlives leaders.
    """

    def __init__(self, gateways: int, engines: int = 3, plain: int = 3, seed: int = 1) -> None:
        # A test case's loop runs in debug mode and records the stack of each callback, which would
        # take most of the time.
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
        self.state = ControlState()
        self._calls: set[asyncio.Task[None]] = set()
        self._due: dict[str, float] = {}
        self.begin_leader()

    def _gateway(self, name: str) -> PlacingGateway:
        present = self.upstreams.values()
        return PlacingGateway(name, present, lambda: len(self.gateways), self.clock)

    def on_order(self, order: Order) -> None:
        """Called with each order to an engine; here it has no effect on what engines hold."""
        del order

    def begin_leader(self) -> None:
        """Start a leader without state of the previous one; gateways that aren't cut connect."""
        self.lose_leader()
        self.leader = PlacingLeader(self.upstreams.values, self.on_order, self.state, self.clock)
        for gateway in self.gateways.values():
            if not gateway.cut:
                gateway.join(self.leader)

    def lose_leader(self) -> None:
        """Remove the leader and disconnect all gateways."""
        self.leader = None
        for gateway in self.gateways.values():
            gateway.lose()

    def cut(self, name: str) -> None:
        """Disconnect a gateway and keep it from connecting to any leader."""
        gateway = self.gateways[name]
        gateway.cut = True
        gateway.lose()
        if self.leader is not None:
            self.leader.remove_gateway(name)

    def restart(self, name: str) -> None:
        """Replace a gateway by a new process without state."""
        self.cut(name)
        self.gateways[name] = self._gateway(name)
        if self.leader is not None:
            self.gateways[name].join(self.leader)

    def limit(self, instance: str, text: str | None) -> int:
        """Set the value of an upstream's limit header and return the present time in ms."""
        self.upstreams[instance].limit = text
        return self.clock.now_ms()

    async def play(
        self,
        ms: int,
        per_s: dict[str, float],
        gateways: list[str] | None = None,
        organisation: str = "",
    ) -> None:
        """Make calls at constant rates while the clock advances.

        Parameters
        ----------
        per_s : dict of str to float
            Calls per second by service.
        gateways : list of str, optional
            Gateways that the calls are spread over at random; all by default.
        organisation : str
            Organisation of the calls.
        """
        names = gateways or list(self.gateways)
        for _ in range(ms // STEP_MS):
            for service, rate in per_s.items():
                key = f"{service}/{organisation}"
                self._due[key] = self._due.get(key, 0.0) + rate * STEP_MS / 1000
                while self._due[key] >= 1:
                    self._due[key] -= 1
                    self.call(service, self.rng.choice(names), organisation)
            await self.step()

    async def step(self) -> None:
        """Advance the clock by `STEP_MS` and exchange the messages of gateways and leader."""
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
        """Start a call through the gateway `name`, without waiting for its end."""
        task = asyncio.ensure_future(self._call(service, self.gateways[name], organisation))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    @abstractmethod
    async def _call(self, service: str, gateway: PlacingGateway, organisation: str) -> None:
        """Make a call through `gateway` and wait for its end."""

    def _selection_criteria(
        self, service: str, now_ms: int, organisation: str
    ) -> SelectionCriteria:
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
        """Cancel all calls in progress and wait for their ends."""
        for call in self._calls:
            call.cancel()
        await asyncio.gather(*self._calls, return_exceptions=True)
