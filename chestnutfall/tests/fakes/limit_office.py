"""Gateways, one leader after another and upstreams that name limits, without a network."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import Any

from ...clock import ManualClock
from ...control.upstream_record import UpstreamRecord
from ...coordination.gateway_session import GatewaySession
from ...coordination.gateway_sessions import GatewaySessions
from ...coordination.holdings_diff import holdings_change
from ...coordination.limit_desk import LimitDesk
from ...coordination.messages import Release, UpstreamsChange, Withdraw
from ...forwarding.call import Call
from ...forwarding.engine_places import EnginePlaces
from ...forwarding.fleet_client import FleetClient
from ...forwarding.fleet_knowledge import FleetKnowledge
from ...forwarding.place import NoPlace, Wanted
from ...forwarding.plain_places import PlainPlaces
from ...forwarding.turn_line import turn_line
from ...limits import read_limit
from ...limits.known_limits import KnownLimits
from ...limits.limit_book import LimitBook
from ...limits.messages import AskTurn, HeardLimit
from ...placement import (
    AdapterName,
    EngineReport,
    Grant,
    Held,
    LoadAdapter,
    PlaceRequest,
    Reject,
    RunOutcome,
    UnloadAdapter,
)
from ...placement.placer import Placer
from ...placement.run_times import RunTimes
from ...platform.document_json import DocumentJson
from ...routes import EngineSpec, ModelSpec, Route, RouteKind, ServiceSpec, WeightedService
from ...signals import UpstreamLoad

STEP_MS = 8
HEAD_MS = 20
RUN_MS = 60
DEADLINE_MS = 1_000
PLACES = 6
ADAPTERS = 6
SPEC = EngineSpec(16, 1_000_000, (ModelSpec("base", 50),), 1_000, ADAPTERS, 5)
ENGINES, PLAIN = "engines", "plain"


@dataclass(slots=True)
class FakeUpstream:
    """What came to one upstream: when, and from which gateway.

    Attributes
    ----------
    limit : str or None
        What its answers say; None for nothing.
    running : int
        Requests that it runs.
    """

    record: UpstreamRecord
    limit: str | None = None
    running: int = 0
    arrivals: list[tuple[int, str]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Refused:
    """A call that found no place: its organisation, how long it waited, when to come back."""

    organisation: str
    reason: str
    waited_ms: int
    retry_after_ms: int


class FakeLeader:
    """A leading controller's part in placing calls."""

    def __init__(self, office: LimitOffice) -> None:
        self._office = office
        self._book = LimitBook(office.clock)
        self._sessions = GatewaySessions()
        self._placer = Placer(office.clock, self._book)
        self._desk = LimitDesk(self._book, self._placer, self._sessions, office.clock)
        self._by_gateway: dict[str, GatewaySession] = {}
        self.see()

    def see(self) -> None:
        """Take over which upstreams serve."""
        records = [one.record for one in self._office.upstreams.values()]
        for one in records:
            if one.service == ENGINES and one.instance not in self._placer.engines:
                self._placer.engine_up(one.instance, one.service, "dc", SPEC)
                held = {AdapterName("base", f"a{at}"): 1 for at in range(ADAPTERS)}
                report = EngineReport({"base": 1}, held, {}, 0)
                self._placer.engine_reported(one.instance, report)
        self._desk.use(records)

    def join(self, name: str) -> None:
        """Begin to serve a gateway."""
        self._by_gateway[name] = session = GatewaySession(name)
        self._sessions.add(session)
        self._desk.greet(session)

    def part(self, name: str) -> None:
        """End a gateway's session."""
        session = self._by_gateway.pop(name, None)
        if session is not None:
            for ticket in self._sessions.remove(session):
                self._placer.withdraw(ticket)
            self._desk.part(session)

    def take(self, name: str, msg: Any) -> None:
        """Take a message of a gateway."""
        session = self._by_gateway[name]
        match msg:
            case HeardLimit():
                self._desk.hear(session, msg)
            case AskTurn():
                self._desk.ask(session, msg)
            case PlaceRequest():
                self._sessions.hold(msg.ticket, session)
                self._placer.submit(msg)
            case Release(ticket, outcome, times):
                self._placer.release(ticket, RunOutcome(outcome), times)
                self._sessions.free(ticket)
            case Withdraw(ticket):
                self._placer.withdraw(ticket)
                self._sessions.free(ticket)

    def decide(self) -> None:
        """Carry out what is due."""
        for decision in self._placer.decide():
            match decision:
                case Grant(ticket) | Reject(ticket):
                    self._sessions.tell(ticket, decision)
                case LoadAdapter():
                    self._placer.order_taken(decision)
                case UnloadAdapter():
                    pass
        self._desk.carry_out()

    def out_of(self, name: str) -> list[Any]:
        """Messages for a gateway."""
        session = self._by_gateway[name]
        return [session.out.get_nowait() for _ in range(session.out.qsize())]


class FakeGateway:
    """A gateway's part in choosing upstreams."""

    def __init__(self, office: LimitOffice, name: str) -> None:
        self.name = name
        self.cut = self.frozen = False
        self.known = FleetKnowledge(DocumentJson(), office.clock)
        records = tuple(one.record for one in office.upstreams.values())
        self.known.take(UpstreamsChange(records, ()))
        held = (
            Held(one.instance, AdapterName("base", f"a{at}"), 1)
            for one in records
            if one.service == ENGINES
            for at in range(ADAPTERS)
        )
        self.known.take(holdings_change(True, held))
        self.fleet = FleetClient(name, (), self.known, office.clock)
        rng = random.Random(name)
        self.limits = KnownLimits(self.fleet.tell, lambda: len(office.gateways), office.clock, rng)
        self.fleet.on_limits = self.limits.take
        self.places = {
            ENGINES: EnginePlaces(self.fleet, self.limits, office.clock, name, "dc"),
            PLAIN: PlainPlaces(
                self.known.upstreams, self.limits, turn_line(self.fleet), office.clock, "dc", rng
            ),
        }

    def join(self, leader: FakeLeader) -> None:
        """Follow a leader."""
        leader.join(self.name)
        for heard in self.limits.again():
            leader.take(self.name, heard)
        self.fleet._join("leader")

    def lose(self) -> None:
        """Have no leader."""
        self.fleet._lose("leader")

    def exchange(self, leader: FakeLeader) -> None:
        """Send and take what is on its way."""
        if not self.fleet.connected or self.frozen:
            return
        while not self.fleet._out.empty():
            leader.take(self.name, self.fleet._out.get_nowait())
        for msg in leader.out_of(self.name):
            self.fleet._take(msg, "leader")


class LimitOffice:
    """Everything, and the calls that clients make.

    Attributes
    ----------
    refused : list of Refused
        Calls that found no place.
    served : Counter of str
        Calls by organisation that found one.
    fail_part : float
        Part of all runs that break; their calls are sent once more.
    head_ms : int
        From a send to the head of its answer, which names the limit.
    """

    def __init__(self, gateways: int, engines: int = 3, plain: int = 3, seed: int = 1) -> None:
        self.clock = ManualClock(60_000)
        self.rng = random.Random(seed)
        self.upstreams: dict[str, FakeUpstream] = {}
        for service, count in ((ENGINES, engines), (PLAIN, plain)):
            for at in range(count):
                name = f"{service}-{at}"
                self.upstreams[name] = FakeUpstream(UpstreamRecord(name, service, "1:1", "dc"))
        self.gateways = {f"g{at}": FakeGateway(self, f"g{at}") for at in range(gateways)}
        self.refused: list[Refused] = []
        self.served: Counter[str] = Counter()
        self.fail_part = 0.0
        self.head_ms = HEAD_MS
        self.leader: FakeLeader | None = None
        self._calls: set[asyncio.Task[None]] = set()
        self._due: dict[str, float] = {}
        self.begin_leader()

    def begin_leader(self) -> None:
        """Let a controller lead that knows nothing of the leader before."""
        self.lose_leader()
        self.leader = FakeLeader(self)
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
        self.gateways[name] = FakeGateway(self, name)
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

    async def _call(self, service: str, gateway: FakeGateway, organisation: str) -> None:
        wanted = self._wanted(service, self.clock.now_ms(), organisation)
        failed_at = await self._send(wanted, gateway)
        if failed_at:
            await self._send(replace(wanted, avoid=(failed_at,)), gateway)

    async def _send(self, wanted: Wanted, gateway: FakeGateway) -> str:
        """Send a call once; the upstream that failed it, if one did."""
        began_ms = self.clock.now_ms()
        organisation = wanted.organisation
        places = gateway.places[wanted.service.name]
        try:
            place = await places.take(wanted)
        except NoPlace as exc:
            waited_ms = self.clock.now_ms() - began_ms
            self.refused.append(Refused(organisation, exc.reason, waited_ms, exc.retry_after_ms))
            return ""
        self.served[organisation] += 1
        upstream = self.upstreams[place.upstream.instance]
        sent_ms = self.clock.now_ms()
        upstream.arrivals.append((sent_ms, gateway.name))
        upstream.running += 1
        await self.clock.sleep_ms(self.head_ms)
        load = UpstreamLoad(upstream.running, 0, PLACES)
        word = read_limit(upstream.limit)
        fails = self.rng.random() < self.fail_part
        gateway.limits.hear(place.upstream.instance, word, sent_ms, succeeded=not fails)
        await self.clock.sleep_ms(RUN_MS)
        upstream.running -= 1
        outcome = RunOutcome.BROKEN if fails else RunOutcome.DONE
        places.give_back(place, outcome, RunTimes(HEAD_MS, 0.0, 0.0), load)
        return place.upstream.instance if fails else ""

    def _wanted(self, service: str, now_ms: int, organisation: str) -> Wanted:
        is_engine = service == ENGINES
        adapter = AdapterName("base", f"a{self.rng.randrange(ADAPTERS)}") if is_engine else None
        until_ms = now_ms + DEADLINE_MS
        call = Call("id", "POST", "/x", "/x", "h", (), b"", now_ms, until_ms, adapter)
        targets = (WeightedService(service, 1),)
        route = Route("r", "h", "/", RouteKind.IDEMPOTENT, DEADLINE_MS, 500, 1, targets, 2)
        spec = ServiceSpec(service, SPEC if is_engine else None)
        return replace(Wanted(call, route, spec, (), until_ms), organisation=organisation)

    async def stop(self) -> None:
        """End every call."""
        for call in self._calls:
            call.cancel()
        await asyncio.gather(*self._calls, return_exceptions=True)


__all__ = ["ENGINES", "PLAIN", "LimitOffice"]
