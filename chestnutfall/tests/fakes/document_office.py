"""One gateway and real leaders on a replicated log, to which operators store documents."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import AsyncIterator
from typing import Any

from ...consensus import Tolerance
from ...control.control_state import ControlState
from ...control.upstream_record import UpstreamRecord
from ...coordination.document_compression import compress_document
from ...coordination.fleet_leader import FleetLeader
from ...coordination.gateway_session import GatewaySession
from ...coordination.group_manager import GroupManager
from ...coordination.leader_relay import LeaderRelay
from ...coordination.leader_term import LeaderTerm
from ...coordination.messages import GatewayHello, PutInForce
from ...coordination.relay_messages import Accepted, Announce, StoreDocument
from ...forwarding.admission import Admission
from ...forwarding.call import Call
from ...forwarding.forwarded_call import ForwardedCall
from ...forwarding.forwarder import Forwarder
from ...forwarding.leader_quota_client import LeaderQuotaClient
from ...forwarding.repeats import Repeats
from ...forwarding.sender import Sender
from ...forwarding.upstream_api import AnswerLost
from ...observability.prometheus_metrics import PrometheusMetrics
from ...placement import AdapterName, EngineReport
from ...platform.document_json import DocumentJson
from ...quarantine import RequestQuarantine
from ...quota.messages import QuotaNews
from ...quota.quota_enforcer import QuotaEnforcer
from ...requests import key_digest
from ...settings.host_place import UNKNOWN_PLACE
from ...settings.quota_bounds import STRICT_QUOTA_BOUNDS
from ...settings.repeat_bounds import RepeatBounds
from .accepting_engines import AcceptingEngines
from .accounts import usual_memory
from .document_parts import ENGINE_SERVICES, HOST, PLAIN_SERVICES, SLOTS
from .fake_cluster import FakeCluster
from .fake_upstreams import RecordedReply
from .long_ago import LONG_AGO_MS
from .placing_gateway import PlacingGateway
from .signal_office import EVENTS, SignallingApi
from .signalling_upstream import ENGINES, PLAIN, SignallingUpstream

STEP_MS = 10
ANNOUNCE_MS = 400
HEAD_MS, GAP_MS, WHOLE_MS = 100, 150, 400
DEADLINE_MS = 4_000
STORED_MS = 5_000
"""Time within which a document is acknowledged, also after the loss of a leader."""
REPEATS = RepeatBounds(0.2, 50, 10_000)


class _SlowApi(SignallingApi):
    """Upstreams whose answers last long enough for documents to come meanwhile."""

    async def _events(
        self, upstream: SignallingUpstream, forwarded: ForwardedCall
    ) -> AsyncIterator[bytes]:
        for number in range((forwarded.resume_after or 0) + 1, EVENTS + 1):
            yield b"id: %d\ndata: a\n\n" % number
            await self._clock.sleep_ms(GAP_MS)
            if upstream.breaks_off:
                raise AnswerLost("broken off")

    async def _whole(self) -> AsyncIterator[bytes]:
        await self._clock.sleep_ms(WHOLE_MS)
        yield b"whole"


class DocumentOffice:
    """Runs calls through the real forwarder while documents come from the real leader.

    Parameters
    ----------
    copies : int
        Upstreams of each service.

    Attributes
    ----------
    document : dict
        The document that was stored last, in the format of operators.
    replies : dict of str to RecordedReply
        The answers to the calls, by request id.
    """

    def __init__(self, document: dict[str, Any], copies: int = 1) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.document = document
        self.replies: dict[str, RecordedReply] = {}
        self.cluster = FakeCluster(5, ("a", "b", "c"), ControlState)
        self.clock = self.cluster.clock
        self.upstreams = {
            f"{service}-{copy}": SignallingUpstream(
                UpstreamRecord(f"{service}-{copy}", service, f"127.0.0.1:{at}{copy}", "dc")
            )
            for at, service in enumerate((*ENGINE_SERVICES, *PLAIN_SERVICES))
            for copy in range(copies)
        }
        self._leaders: dict[str, FleetLeader] = {}
        self._relays: dict[str, LeaderRelay] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._session: GatewaySession | None = None
        self._term: LeaderTerm | None = None
        self._announced = 0
        self._announced_ms = -ANNOUNCE_MS

    async def start(self) -> None:
        """Start the controllers and the gateway, and wait until calls are placed."""
        await self.cluster.bootstrap()
        for name, replica in self.cluster.replicas.items():
            self._start_controller(name, replica, replica.machine)
        await self.cluster.leader()
        self._make_gateway()
        await self.steps(300)
        await self.store(self.document)
        await self.steps(500)
        assert self.gateway.fleet.connected
        # Adapters are loaded before.
        for service in ENGINE_SERVICES:
            self.begin(service, f"warm {service}")
        await self.steps(1_500)
        assert all(one.ended == "whole" for one in self.replies.values())
        self.replies.clear()

    def _start_controller(self, name: str, replica: Any, state: Any) -> None:
        leader = FleetLeader(
            replica,
            state,
            DocumentJson(),
            AcceptingEngines(),
            self.clock,
            1000,
            REPEATS,
            STRICT_QUOTA_BOUNDS,
            usual_memory(),
        )
        group = GroupManager(replica, state, self.clock, Tolerance(1), UNKNOWN_PLACE)
        self._leaders[name] = leader
        self._relays[name] = LeaderRelay(replica, state, leader, group, self.clock)
        for one in (leader, group):
            self._run(one.run())

    def _run(self, coro: Any) -> asyncio.Task[Any]:
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        return task

    def _make_gateway(self) -> None:
        self.gateway = gateway = PlacingGateway("g0", (), lambda: 1, self.clock)
        rng, metrics = random.Random(1), PrometheusMetrics()
        api = _SlowApi(self.upstreams, "g0", self.clock)
        api.head_ms = HEAD_MS
        quotas = QuotaEnforcer(
            LeaderQuotaClient(gateway.fleet), lambda: 1, STRICT_QUOTA_BOUNDS, self.clock, rng
        )
        gateway.fleet.on(QuotaNews, quotas.apply)
        self._forwarder = Forwarder(
            gateway.known,
            Admission(quotas),
            Repeats(
                REPEATS,
                lambda: 1,
                gateway.fleet.questions.borrow_repeat,
                self.clock,
                rng,
                LONG_AGO_MS,
            ),
            gateway.selectors[ENGINES],
            gateway.selectors[PLAIN],
            Sender(api, gateway.signals, gateway.origins, self.clock, metrics, usual_memory()),
            gateway.signals,
            gateway.origins,
            RequestQuarantine(lambda report: None, self._refuses, self.clock),
            self.clock,
            metrics,
            rng,
        )

    async def _refuses(self, address: str) -> bool:
        return False

    # Time and messages

    async def steps(self, ms: int) -> None:
        """Let time pass, with upstreams that announce themselves and a gateway that connects."""
        for _ in range(ms // STEP_MS):
            await self.clock.advance(STEP_MS)
            self._connect()
            self._exchange()
            self._announce()
            await asyncio.sleep(0)

    async def all_ended(self, within_ms: int) -> None:
        """Let time pass until each call has its final answer, or `within_ms` have passed."""
        for _ in range(within_ms // STEP_MS):
            if all(one.ended for one in self.replies.values()):
                return
            await self.steps(STEP_MS)

    def _leading(self) -> tuple[str, LeaderTerm] | None:
        for name in self.cluster.active_leaders():
            if (term := self._leaders[name].leading()) is not None:
                return name, term
        return None

    def _connect(self) -> None:
        leading = self._leading()
        term = leading[1] if leading else None
        fleet = self.gateway.fleet
        if term is not self._term:
            if self._session is not None:
                fleet.on_lost("leader")
            self._session, self._term = None, term
        if term is not None and self._session is None:
            self._session = GatewaySession("g0")
            fleet.on_opened()
            term.add_gateway(self._session, self.gateway.known.version)

    def _exchange(self) -> None:
        if self._session is None or self._term is None:
            return
        fleet = self.gateway.fleet
        while not fleet._out.empty():
            msg = fleet._out.get_nowait()
            if not isinstance(msg, GatewayHello):
                self._term.handle(self._session, msg)
        while not self._session.out.empty():
            msg = self._session.out.get_nowait()
            if msg is not None:
                fleet.on_message(msg, "leader")

    def _announce(self) -> None:
        leading = self._leading()
        if leading is None or self.clock.now_ms() - self._announced_ms < ANNOUNCE_MS:
            return
        self._announced_ms = self.clock.now_ms()
        self._announced += 1
        for upstream in self.upstreams.values():
            is_engine = upstream.record.service in ENGINE_SERVICES
            holds = EngineReport({"base": 1}, {}, {}, 0) if is_engine else None
            msg = Announce(upstream.record, self._announced, holds)
            self._run(self._relays[leading[0]].answer(msg))

    def add_upstream(self, service: str) -> None:
        """Add an upstream, which announces itself from now on."""
        record = UpstreamRecord(f"{service}-0", service, "127.0.0.1:99", "dc")
        self.upstreams[record.instance] = SignallingUpstream(record)

    async def announced(self) -> None:
        """Let time pass until upstreams have just announced themselves."""
        number = self._announced
        while self._announced == number:
            await self.steps(STEP_MS)
        await self.steps(50)

    def lose_leader(self) -> None:
        """Cut the leader off from the others; the next one is elected as time passes."""
        leading = self._leading()
        assert leading is not None
        self.cluster.isolate(leading[0])

    # Documents

    def begin_store(self, document: dict[str, Any]) -> asyncio.Task[Any]:
        """Store a document at the leader, without waiting for its acknowledgement."""
        leading = self._leading()
        assert leading is not None
        self.document = document
        content = compress_document(json.dumps(document).encode())
        return self._run(
            self._relays[leading[0]].answer(StoreDocument(document["version"], content))
        )

    async def store(self, document: dict[str, Any]) -> None:
        """Store a document and wait for its acknowledgement."""
        for _ in range(STORED_MS // STEP_MS):
            if self._leading() is not None:
                break
            await self.steps(STEP_MS)
        stored = self.begin_store(document)
        for _ in range(STORED_MS // STEP_MS):
            if not stored.done():
                await self.steps(STEP_MS)
        assert stored.done() and stored.result() == Accepted(), "not acknowledged"

    def put_in_force(self, document: dict[str, Any]) -> None:
        """Put a document in force at the gateway at once; leaders get it by `store`."""
        content = compress_document(json.dumps(document).encode())
        self.gateway.fleet.on_message(PutInForce(document["version"], content), "leader")

    # Calls

    def begin(self, path: str, attempt: str, key: str = "") -> RecordedReply:
        """Send a call on a path, without waiting for its end."""
        now_ms = self.clock.now_ms()
        target = f"/{path}/x"
        adapter = AdapterName("base", "a0") if path in ENGINE_SERVICES else None
        call = Call(
            attempt,
            "POST",
            target,
            target,
            HOST,
            (),
            attempt.encode(),
            now_ms,
            now_ms + DEADLINE_MS,
            adapter,
            10 if adapter else 0,
            10 if adapter else 0,
            key_digest=key_digest(key) if key else None,
        )
        self.replies[attempt] = reply = RecordedReply()
        self._run(self._forwarder.serve(call, reply))
        return reply

    def arrivals(self, service: str) -> int:
        """Return how many sends have come to a service."""
        upstreams = self.upstreams.values()
        return sum(len(one.arrivals) for one in upstreams if one.record.service == service)

    async def fill(self, path: str) -> None:
        """Take all places of an engine service for a while."""
        for at in range(SLOTS):
            self.begin(path, f"filler {path} {at}")
        await self.steps(50)

    async def stop(self) -> None:
        """Cancel everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.cluster.stop()
