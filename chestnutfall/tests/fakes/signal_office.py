"""A simulated deployment whose upstreams ask for backoffs or leave, with the real forwarder."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from ...clock import Clock
from ...forwarding.admission import Admission
from ...forwarding.call import Call
from ...forwarding.forwarded_call import ForwardedCall
from ...forwarding.forwarder import Forwarder
from ...forwarding.repeats import Repeats
from ...forwarding.sender import Sender
from ...forwarding.upstream_answer import NotRun, UpstreamAnswer
from ...forwarding.upstream_api import AnswerLost, NotSent, UpstreamApi
from ...observability.prometheus_metrics import PrometheusMetrics
from ...placement import AdapterName, LoadAdapter, Order, UnloadAdapter
from ...quarantine import RequestQuarantine
from ...quota.quota_enforcer import QuotaEnforcer
from ...requests import key_digest
from ...routes import (
    Document,
    DocumentLimits,
    Organisation,
    Route,
    RouteKind,
    RouteTable,
    ServiceSpec,
    WeightedService,
)
from ...settings.quota_bounds import CALLER_QUOTA_BOUNDS
from ...settings.repeat_bounds import RepeatBounds
from ...signals import AskedBackoff
from .accounts import usual_memory
from .fake_upstreams import FixedRoutes, RecordedReply, ScriptedQuotaClient
from .long_ago import LONG_AGO_MS
from .placing_gateway import PlacingGateway
from .placing_office import DEADLINE_MS, PlacingOffice
from .signalling_upstream import ADAPTERS, ENGINES, PLAIN, SPEC, BackoffRequest, SignallingUpstream

OBJECTIVE_MS = 500
PAUSE_MS = 300
HEAD_MS = 20
RUN_MS = 60
EVENTS = 3
REFUSAL_MS = 2
LOAD_MS = 50
REPEATS = RepeatBounds(0.2, 50, 10_000)
HOST = "a.example"
ONCE = "once"
"""A route to the plain service for calls that must not be repeated."""
STREAMS = "streams"
"""A route to the plain service for resumable streams."""


@dataclass(frozen=True, slots=True)
class FinishedCall:
    """The final answer to a call.

    Attributes
    ----------
    sent_ms, took_ms : int
        Clock time at which the caller sent the call, and the time until its final answer.
    reason : str
        Why it was refused; empty if it was not.
    retry_after_ms : int or None
        Time after which the caller is told to retry.
    """

    service: str
    gateway: str
    organisation: str
    sent_ms: int
    took_ms: int
    status: int
    reason: str
    retry_after_ms: int | None


class SignallingApi(UpstreamApi):
    """One gateway's interface to all simulated upstreams.

    Attributes
    ----------
    head_ms : int
        Time from a send to the head of a success.
    written_by : str or None
        Upstream that answers claim to come from; None if they name none.
    """

    def __init__(
        self, upstreams: dict[str, SignallingUpstream], gateway: str, clock: Clock
    ) -> None:
        self._upstreams = upstreams
        self._gateway = gateway
        self._clock = clock
        self.head_ms = HEAD_MS
        self.written_by: str | None = None

    @asynccontextmanager
    async def send(self, forwarded: ForwardedCall) -> AsyncIterator[UpstreamAnswer]:
        upstream = self._upstreams.get(forwarded.upstream.instance)
        if upstream is None:
            raise NotSent("gone")
        now_ms = self._clock.now_ms()
        upstream.arrivals.append((now_ms, self._gateway))
        # The signals are those at the arrival of the request; answers may arrive in another order.
        status = self._status(upstream, forwarded)
        signals = upstream.signals(status)
        not_run = None
        if status == 421:
            not_run = NotRun.ABSENT
        elif status == 503 and upstream.proves_not_run:
            not_run = NotRun.FULL
        if upstream.leaving:
            upstream.leaving_answered_ms.setdefault(self._gateway, now_ms)
        if isinstance(signals.backoff, AskedBackoff):
            upstream.backoff_requests.append(
                BackoffRequest(now_ms, self._gateway, signals.backoff.ms)
            )
        await self._clock.sleep_ms(self.head_ms if status == 200 else REFUSAL_MS)
        upstream.running += status == 200
        try:
            body = self._body(upstream, forwarded) if status == 200 else _empty()
            yield UpstreamAnswer(
                status, (), not_run, signals, body, written_by=self.written_by or ""
            )
        finally:
            upstream.running -= status == 200

    def _body(self, upstream: SignallingUpstream, forwarded: ForwardedCall) -> AsyncIterator[bytes]:
        is_stream = forwarded.call.adapter or forwarded.call.path.startswith(f"/{STREAMS}/")
        return self._events(upstream, forwarded) if is_stream else self._whole()

    @staticmethod
    def _status(upstream: SignallingUpstream, forwarded: ForwardedCall) -> int:
        if upstream.backoff is not None:
            return upstream.rejection_status
        adapter = forwarded.call.adapter
        return 421 if adapter is not None and adapter not in upstream.holds else 200

    async def _events(
        self, upstream: SignallingUpstream, forwarded: ForwardedCall
    ) -> AsyncIterator[bytes]:
        after = forwarded.resume_after or 0
        upstream.resumed += after > 0
        for number in range(after + 1, EVENTS + 1):
            if number > 1 and upstream.breaks_off:
                raise AnswerLost("broken off")
            yield b"id: %d\ndata: %s\n\n" % (number, upstream.record.build.encode() or b"a")
            await self._clock.sleep_ms(RUN_MS // EVENTS)

    async def _whole(self) -> AsyncIterator[bytes]:
        await self._clock.sleep_ms(RUN_MS)
        yield b"whole"


async def _empty() -> AsyncIterator[bytes]:
    yield b""


class SignalOffice(PlacingOffice):
    """Runs calls from their arrival to their final answer, without a network.

    Attributes
    ----------
    finished : list of FinishedCall
        All calls that have their final answer.
    adapters : list of str
        Adapters that calls to engines name, at random.
    metrics : PrometheusMetrics
        Counters of all gateways together.
    """

    def __init__(
        self,
        gateways: int,
        engines: int = 3,
        plain: int = 3,
        seed: int = 1,
        repeats: RepeatBounds = REPEATS,
    ) -> None:
        self.finished: list[FinishedCall] = []
        self.adapters = [f"a{at}" for at in range(ADAPTERS)]
        self.metrics = PrometheusMetrics()
        self.apis: dict[str, SignallingApi] = {}
        self._forwarders: dict[str, Forwarder] = {}
        self._bounds = repeats
        self._numbers = 0
        super().__init__(gateways, engines, plain, seed)

    def _gateway(self, name: str) -> PlacingGateway:
        gateway = super()._gateway(name)
        rng = random.Random(name)
        self.apis[name] = SignallingApi(self.upstreams, name, self.clock)
        self._forwarders[name] = Forwarder(
            FixedRoutes(self.table(), self.clock),
            Admission(
                QuotaEnforcer(
                    ScriptedQuotaClient(), lambda: 1, CALLER_QUOTA_BOUNDS, self.clock, rng
                )
            ),
            Repeats(
                self._bounds,
                lambda: len(self.gateways) or 1,
                gateway.fleet.questions.borrow_repeat,
                self.clock,
                rng,
                LONG_AGO_MS,
            ),
            gateway.selectors[ENGINES],
            gateway.selectors[PLAIN],
            Sender(
                self.apis[name],
                gateway.signals,
                gateway.origins,
                self.clock,
                self.metrics,
                usual_memory(),
            ),
            gateway.signals,
            gateway.origins,
            RequestQuarantine(lambda report: None, self._refuses, self.clock),
            self.clock,
            self.metrics,
            rng,
        )
        return gateway

    def table(self) -> RouteTable:
        """Return the routes in force."""
        return _table()

    async def _refuses(self, address: str) -> bool | None:
        return False

    def on_order(self, order: Order) -> None:
        """Carry out an order that the leader gives to an engine."""
        engine = self.upstreams.get(order.instance)
        match order:
            case LoadAdapter(adapter=adapter, version=version) if engine is not None:
                task = asyncio.ensure_future(self._load(engine, adapter, version))
                self._calls.add(task)
                task.add_done_callback(self._calls.discard)
            case UnloadAdapter(adapter=adapter) if engine is not None:
                engine.holds.pop(adapter, None)
            case _:
                pass

    async def _load(self, engine: SignallingUpstream, adapter: AdapterName, version: int) -> None:
        await self.clock.sleep_ms(LOAD_MS)
        engine.holds[adapter] = version

    def see(self) -> None:
        """Tell the leader and all gateways which upstreams exist."""
        self.see_leader()
        for gateway in self.gateways.values():
            gateway.set_upstreams(self.upstreams.values())

    def see_leader(self) -> None:
        """Tell the leader alone which upstreams exist."""
        if self.leader is not None:
            self.leader.update_upstreams()

    def replace(self, instance: str, successor: str) -> SignallingUpstream:
        """Replace an upstream by another incarnation at the same address, and return that."""
        old = self.upstreams.pop(instance)
        record = dataclasses.replace(old.record, instance=successor)
        self.upstreams[successor] = SignallingUpstream(record)
        self.see()
        return self.upstreams[successor]

    async def _call(self, service: str, gateway: PlacingGateway, organisation: str) -> None:
        now_ms = self.clock.now_ms()
        adapter = None
        if service == ENGINES:
            names = self.adapters
            adapter = AdapterName("base", names[self.rng.randrange(len(names))])
        path = f"/{service}/x"
        self._numbers += 1
        # Bodies differ, so that no call is taken for a copy of another.
        body = str(self._numbers).encode()
        call = Call(
            f"id-{self._numbers}",
            "POST",
            path,
            path,
            HOST,
            (),
            body,
            now_ms,
            now_ms + DEADLINE_MS,
            adapter,
            key_digest=key_digest(organisation) if organisation else None,
        )
        reply = RecordedReply()
        await self._forwarders[gateway.name].serve(call, reply)
        self.finished.append(
            FinishedCall(
                service,
                gateway.name,
                organisation,
                now_ms,
                self.clock.now_ms() - now_ms,
                reply.status,
                reply.reason,
                reply.retry_after_ms,
            )
        )

    # Results

    def of(self, service: str, from_ms: int = 0, until_ms: int = 2**62) -> list[FinishedCall]:
        """The finished calls to a service that were sent from `from_ms` until `until_ms`."""
        return [
            one
            for one in self.finished
            if one.service == service and from_ms <= one.sent_ms < until_ms
        ]

    def served(self, service: str, from_ms: int = 0, until_ms: int = 2**62) -> float:
        """Fraction of these calls that succeeded."""
        found = self.of(service, from_ms, until_ms)
        return sum(one.status == 200 for one in found) / max(len(found), 1)

    def violations(self) -> list[str]:
        """Describe each request that a gateway sent against an upstream's signal.

        That is within a backoff asked of that gateway, or after an answer to it said that the
        upstream is leaving.
        """
        found: list[str] = []
        for upstream in self.upstreams.values():
            found += _violations(upstream)
        return found


def _violations(upstream: SignallingUpstream) -> Iterator[str]:
    instance = upstream.record.instance
    for asked in upstream.backoff_requests:
        known_ms, until_ms = asked.at_ms + REFUSAL_MS, asked.at_ms + asked.for_ms
        for at_ms, gateway in upstream.arrivals:
            if gateway == asked.gateway and known_ms < at_ms < until_ms:
                yield f"{instance}: {gateway} at {at_ms}, asked at {asked.at_ms}"
    for gateway, answered_ms in upstream.leaving_answered_ms.items():
        for at_ms, by in upstream.arrivals:
            if by == gateway and at_ms > answered_ms + HEAD_MS:
                yield f"{instance}: {gateway} at {at_ms}, told at {answered_ms}"


def _table() -> RouteTable:
    def route(service: str, kind: RouteKind, path: str) -> Route:
        targets = (WeightedService(service, 1),)
        return Route(
            path, HOST, f"/{path}/", kind, DEADLINE_MS, OBJECTIVE_MS, 1, targets, 2, PAUSE_MS, True
        )

    routes = (
        route(ENGINES, RouteKind.RESUMABLE_STREAM, ENGINES),
        route(PLAIN, RouteKind.IDEMPOTENT, PLAIN),
        route(PLAIN, RouteKind.NON_IDEMPOTENT, ONCE),
        route(PLAIN, RouteKind.RESUMABLE_STREAM, STREAMS),
    )
    services = (ServiceSpec(ENGINES, SPEC), ServiceSpec(PLAIN, None))
    organisations = tuple(Organisation(name, (key_digest(name),)) for name in ("hot", "usual"))
    limits = DocumentLimits()
    return RouteTable(Document(1, routes, services, limits, organisations))
