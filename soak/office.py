"""A deployment of real gateways and controllers with stand-in upstreams."""

from __future__ import annotations

import asyncio
import os
import random
import socket
from collections.abc import Sequence
from contextlib import ExitStack
from pathlib import Path

from chestnutfall.platform.standin.document_change import DESK, SCRIPTS
from chestnutfall.platform.standin.node_writer import USUAL_LIMITS, NodePlan, Ports
from chestnutfall.platform.standin.operator import ENGINES, PLAIN
from chestnutfall.platform.standin.run_registry import RunRegistry
from chestnutfall.platform.standin.uneven_speed import UnevenSpeed
from chestnutfall.platform.standin.upstream import StandInUpstream
from chestnutfall.settings.host_limits import HostLimits

from .daemon import Daemon
from .disturbances import Disturbances
from .harm import ended
from .peer_links import PeerLinks
from .relay import ConnectionFault, Relay

CONTROLLERS = 3
GATEWAYS = 3
SLOW_ENGINE = 4.0
"""How many times as long the work of the first engine takes, beside spells of other work."""
UPSTREAMS = ((ENGINES, True), (ENGINES, True), (ENGINES, True), (PLAIN, False), (PLAIN, False))
"""Service of each upstream, and whether it is an engine."""
FIRST_ROUTES = ("once", "again", "draft", "long")
"""Routes that never lead to a second service."""


class Office:
    """The controllers, gateways, upstreams and relays of one soak run.

    Every upstream is behind a relay, whose address it announces.

    Attributes
    ----------
    run_registry : RunRegistry
        What the upstreams ran and received.
    control_addresses : list of str
        Addresses of the controllers for operators and announcements.
    upstreams, relays : list
        In the same order; empty before `start`.
    seconds : list of StandInUpstream
        The only upstream of each second service, which no fault harms; they have no relays.
    peer_links : PeerLinks
        Links of gateways to controllers and to each other.
    disturbances : Disturbances
        Faults and other periods that checks ask for.

    Parameters
    ----------
    upstreams : sequence of tuple
        Service of each upstream, and whether it is an engine.
    is_whole : bool
        Whether it has the second services, and relays between its daemons.
    limits : HostLimits
        What each daemon may use of its host.
    """

    def __init__(
        self,
        folder: Path,
        rng: random.Random,
        upstreams: Sequence[tuple[str, bool]] = UPSTREAMS,
        is_whole: bool = False,
        limits: HostLimits = USUAL_LIMITS,
    ) -> None:
        self._rng = rng
        self._plan = upstreams
        self._is_whole = is_whole
        # Two unused draws. Without them, the seeds in `REGRESSIONS` would play differently, since
        # addresses were drawn here when they failed.
        rng.randrange(20, 120), rng.randrange(1, 250)
        self.run_registry = RunRegistry()
        network = _process_network()
        self._ports = Ports(*_free_ports(4))
        ips = [f"{network}.{at + 1}" for at in range(CONTROLLERS)]
        seeds = tuple(ips)
        self.controllers = [
            Daemon(
                "controller",
                folder / f"c{at}",
                NodePlan(ip, f"c{at}", str(folder / f"c{at}" / "data"), seeds, True, limits),
                self._ports,
            )
            for at, ip in enumerate(ips)
        ]
        self.gateways = [
            Daemon(
                "gateway",
                folder / f"g{at}",
                NodePlan(f"{network}.{at + 101}", f"g{at}", "", seeds, True, limits),
                self._ports,
            )
            for at in range(GATEWAYS)
        ]
        self.control_addresses = [f"{ip}:{self._ports.control}" for ip in ips]
        self.peer_links = PeerLinks(self.gateways, self.controllers, self._ports.internal)
        self.disturbances = Disturbances()
        # With a generator of its own: draws from `rng` would change what the seeds play.
        self.seconds = [
            StandInUpstream(
                name, is_engine, self.run_registry, random.Random(name), self.control_addresses
            )
            for name, is_engine in ((DESK, False), (SCRIPTS, True))
            if is_whole
        ]
        self.upstreams: list[StandInUpstream] = []
        self.relays: list[Relay] = []

    def client_address(self, gateway: Daemon) -> str:
        """Return the address at which clients reach a gateway."""
        return f"{gateway.plan.ip}:{self._ports.front}"

    def ready_url(self, gateway: Daemon) -> str:
        """Return the URL that says whether a gateway is ready."""
        return f"http://{self.ready_address(gateway)}/v1/ready"

    def ready_address(self, gateway: Daemon) -> str:
        """Return the address at which load balancers ask a gateway whether it is ready."""
        return f"{gateway.plan.ip}:{self._ports.ready}"

    def cut_off(
        self,
        gateway: Daemon,
        connections: ConnectionFault,
        new: str,
        relays: Sequence[Relay] | None = None,
    ) -> None:
        """Cut a gateway off from all upstreams, or from those of some relays.

        Parameters
        ----------
        connections : ConnectionFault
            What becomes of its open connections.
        new : str
            How each try to open another one ends.
        """
        cut = self.relays if relays is None else relays
        gateway.cut_links(new, (relay.port for relay in cut))
        for relay in cut:
            relay.cut[gateway.plan.ip] = connections
            if connections is ConnectionFault.RESET:
                relay.reset_from(gateway.plan.ip)

    def draw_pairs(self, rng: random.Random, share: float) -> dict[Daemon, list[Relay]]:
        """Draw a share of all links by pair; each upstream keeps the link of some gateway."""
        drawn: dict[Daemon, list[Relay]] = {one: [] for one in self.gateways}
        count = min(round(share * len(self.gateways)), len(self.gateways) - 1)
        for relay in self.relays:
            for gateway in rng.sample(self.gateways, count):
                drawn[gateway].append(relay)
        return drawn

    def join(self, gateway: Daemon) -> None:
        """End the cut of a gateway."""
        gateway.join_links()
        for relay in self.relays:
            relay.cut.pop(gateway.plan.ip, None)

    async def start(self, builds: Sequence[str] = ()) -> None:
        """Start every daemon and upstream; `builds` are the versions of the first upstreams."""
        if self._is_whole:
            await self.peer_links.start()
        await asyncio.gather(*(one.start(True) for one in (*self.controllers, *self.gateways)))
        for one in self.seconds:
            await one.start()
            one.announced_address = one.address
            one.foreign_routes = FIRST_ROUTES
            self._record_ends(one, None)
            one.announce()
        for at, (service, is_engine) in enumerate(self._plan):
            await self._add_upstream(service, is_engine, builds[at] if at < len(builds) else "")

    async def _add_upstream(self, service: str, is_engine: bool, build: str) -> None:
        upstream = StandInUpstream(
            service, is_engine, self.run_registry, self._rng, self.control_addresses
        )
        upstream.build = upstream.next_build = build
        await upstream.start()
        relay = Relay(upstream.address)
        await relay.start()
        upstream.announced_address = relay.address
        if is_engine:
            upstream.speed = UnevenSpeed(upstream.instance, 1.0 if self.upstreams else SLOW_ENGINE)
        self._record_ends(upstream, relay)
        upstream.announce()
        self.upstreams.append(upstream)
        self.relays.append(relay)

    def _record_ends(self, upstream: StandInUpstream, relay: Relay | None) -> None:
        """Let the relay of an upstream refuse connections while it is down, and record when."""
        periods = ExitStack()

        def on_end() -> None:
            name = ended(upstream.announced_address)
            periods.enter_context(self.disturbances.recorded(name))
            if relay is not None:
                relay.refuse()

        async def on_start() -> None:
            if relay is not None:
                await relay.start()
            periods.close()

        upstream.on_end, upstream.on_start = on_end, on_start

    def upstream_addresses(self) -> dict[str, str]:
        """Return the announced address of each upstream that there ever was, by its name."""
        everyone = (*self.upstreams, *self.seconds)
        return {name: one.announced_address for one in everyone for name in one.instances}

    async def stop(self) -> None:
        """Stop every relay, upstream and daemon that was started."""
        await self.peer_links.stop()
        for relay in self.relays:
            await relay.stop()
        await asyncio.gather(*(one.stop() for one in (*self.upstreams, *self.seconds)))
        await asyncio.gather(*(one.kill() for one in (*self.controllers, *self.gateways)))


def _process_network() -> str:
    """Return the first three octets of a loopback network for this process.

    They come from the process id and not from the seed. With addresses from the seed, two
    simultaneous runs of one seed shared addresses, and the daemons of one answered the clients of
    the other.
    """
    pid = os.getpid()
    return f"127.{20 + (pid >> 8) % 100}.{pid % 256}"


def _free_ports(count: int) -> list[int]:
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports
