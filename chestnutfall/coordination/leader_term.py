"""Work of the leading controller during one leader term."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Iterator

from ..clock import Clock
from ..consensus import Replica
from ..control.commands import Command, NameVersion, PutDocument
from ..control.control_state import ControlState
from ..control.crash_monitor import CrashMonitor
from ..control.upstream_record import UpstreamRecord
from ..limits.limit_registry import LimitRegistry
from ..placement import AdapterName, Decision, Grant, Reject
from ..placement.placer import Placer
from ..quota.quota_ledger import QuotaLedger
from ..routes import DocumentCodec, RouteTable, ServiceSpec, UnreadableDocument
from ..settings.quota_bounds import QuotaBounds
from ..settings.repeat_bounds import RepeatBounds
from ..signals.backoff_registry import BackoffRegistry
from .backoff_coordinator import BackoffCoordinator
from .document_compression import decompress_document
from .engine_control import EngineControl
from .engine_kind_recorder import EngineKindRecorder
from .gateway_broadcaster import GatewayBroadcaster
from .gateway_duties import GatewayDuties
from .gateway_observations import GatewayObservations
from .gateway_parts import GatewayParts
from .gateway_session import GatewaySession
from .gateway_sessions import GatewaySessions
from .helper_directory import HelperDirectory
from .limit_coordinator import LimitCoordinator
from .link_directory import LinkDirectory
from .messages import (
    GatewayMessage,
    NotLeading,
)
from .order_dispatcher import EngineRecord, OrderDispatcher
from .origin_coordinator import OriginCoordinator
from .rejection_coordinator import RejectionCoordinator
from .relay_messages import Announce, Depart
from .repeat_pool import RepeatPool
from .retired_services import RetiredServices
from .round_pace import RoundPace
from .upstream_tracker import UpstreamTracker

log = logging.getLogger(__name__)
BUSY_TICK_MS = 8
"""Longest delay of a grant for a request that waits for a load."""
IDLE_TICK_MS = 100
"""Short compared with the intervals at which gateways are updated."""


class LeaderTerm:
    """Serves gateways and upstreams while this controller leads in one term.

    It owns the gateway sessions, the liveness of upstreams, placement, and the orders to engines. A
    new term starts with empty state; only what the log holds is kept.

    Attributes
    ----------
    term : int
        Number of the term, which is also the fencing token of orders.
    """

    def __init__(
        self,
        replica: Replica,
        state: ControlState,
        codec: DocumentCodec,
        control: EngineControl,
        clock: Clock,
        heartbeat_ms: int,
        repeats: RepeatBounds,
        quotas: QuotaBounds,
    ) -> None:
        self.term = replica.term
        self._replica = replica
        self._state = state
        self._codec = codec
        self._clock = clock
        limits, backoffs = LimitRegistry(clock), BackoffRegistry(clock)
        self._placer = Placer(clock, limits, backoffs)
        self._quotas = QuotaLedger(quotas, clock)
        self._crashes = CrashMonitor(replica, state, clock, self._placer.suspects)
        self._sessions = GatewaySessions()
        self._limits = LimitCoordinator(limits, backoffs, self._placer, self._sessions, clock)
        self._backoffs = BackoffCoordinator(backoffs, self._placer, self._sessions, clock)
        self._helpers = HelperDirectory(clock)
        self._links = LinkDirectory(clock)
        self._rejections = RejectionCoordinator(
            self._placer, self._limits.turns, self._sessions, clock
        )
        self._origins = OriginCoordinator(self._placer, self._sessions, clock)
        self._broadcaster = GatewayBroadcaster(
            self._sessions, state, self._placer, self._quotas, clock
        )
        self._table: RouteTable | None = None
        self._retired = RetiredServices(clock)
        self._wake = asyncio.Event()
        self._pace = RoundPace(clock)
        self._engines = OrderDispatcher(
            self._placer, control, clock, self.term, self.leads, self._wake.set
        )
        self._upstreams = UpstreamTracker(
            replica,
            state,
            self._crashes,
            clock,
            heartbeat_ms,
            self._is_configured_service,
            self._on_serving,
            self._wake.set,
        )
        parts = GatewayParts(
            self._placer,
            self._sessions,
            self._broadcaster,
            RepeatPool(repeats, clock),
            self._quotas,
            self._origins,
            self._helpers,
            self._links,
            self._limits,
            self._backoffs,
            self._rejections,
            GatewayObservations(self._placer, self._upstreams, self._crashes, clock),
        )
        self._gateways = GatewayDuties(parts, self.leads)

    # Lifecycle

    async def run(self) -> None:
        """Serve until cancelled or until leadership is lost."""
        self._load_document()
        for (model, adapter), version in self._state.versions.items():
            self._placer.name_version(AdapterName(model, adapter), version)
        for service, kind in self._state.engine_kinds.items():
            self._placer.kinds.restore(service, kind)
        recorder = EngineKindRecorder(self._replica, self._state, self._placer, self._clock)
        tasks = [asyncio.ensure_future(one.run()) for one in (recorder, self._crashes)]
        try:
            while self.leads():
                self._pace.begin()
                self._broadcaster.send_due()
                self._helpers.send_due()
                self._links.send_due()
                await self._upstreams.update_if_due()
                self._carry_out_decisions()
                self._pace.end()
                await self._wait_for_tick()
        finally:
            for task in tasks:
                task.cancel()
            self._end()

    def leads(self) -> bool:
        """Whether this controller is still the only leader."""
        return self._replica.term == self.term and self._replica.is_active_leader()

    async def _wait_for_tick(self) -> None:
        waiting = self._placer.waiting or self._limits.waiting or self._origins.waiting
        tick_ms = BUSY_TICK_MS if waiting else IDLE_TICK_MS
        tick_ms = min(tick_ms, max(self._upstreams.due_in_ms(), 1))
        with contextlib.suppress(TimeoutError):
            await self._clock.within_ms(tick_ms, self._wake.wait())
        pause_ms = self._pace.pause_ms()
        if pause_ms:
            await self._clock.sleep_ms(pause_ms)
        self._wake.clear()

    def _end(self) -> None:
        self._engines.close()
        self._sessions.broadcast(NotLeading(""), None)

    def on_apply(self, command: Command) -> None:
        """Process a command after it is applied to the replicated state."""
        match command:
            case PutDocument():
                self._load_document()
            case NameVersion(model, adapter, version):
                self._placer.name_version(AdapterName(model, adapter), version)
            case _:
                pass
        self._wake.set()

    def _load_document(self) -> None:
        held = self._state.document
        known = self._table.document.version if self._table is not None else -1
        # A document that is stored again, or an older one, changes nothing. Decoding one of some
        # thousand routes takes milliseconds during which no request is placed.
        if held.version > known:
            try:
                document = self._codec.decode(decompress_document(held.content))
            except UnreadableDocument as exc:
                # A controller of a later release has checked it. An exception here would end the
                # replica, and each one that applies the document.
                log.error("document: unreadable version=%d stays=%d: %s", held.version, known, exc)
                return
            former, self._table = self._table, RouteTable(document)
            if former is not None:
                self._retired.note_change(former, self._table)
            self._quotas.apply_quotas(self._table.document.organisations)
            self._upstreams.update_soon()

    # Gateways

    def add_gateway(self, session: GatewaySession, document_version: int) -> None:
        """Start to serve a gateway that holds `document_version`."""
        self._gateways.add(session, document_version)

    def remove_gateway(self, session: GatewaySession) -> None:
        """End a gateway's session and free everything that it held."""
        self._gateways.remove(session)

    def handle(self, session: GatewaySession, msg: GatewayMessage) -> None:
        """Process a message of a gateway."""
        if self._gateways.handle(session, msg):
            self._wake.set()

    @property
    def cut_off_gateways(self) -> int:
        """Number of gateways that can't send calls for others, mostly since they are cut off."""
        return self._helpers.cut_off

    @property
    def cut_links(self) -> int:
        """Number of pairs of a gateway and an upstream that don't reach each other."""
        return self._links.cut_links

    @property
    def slow_engines(self) -> int:
        """Number of engines that are usually slower than their service."""
        return sum(one.speed.is_slow for one in self._placer.engines.values())

    @property
    def slowed_engines(self) -> int:
        """Number of engines that reported that other work slows them down now."""
        return len(self._placer.slowed)

    # Upstreams

    async def announce(self, msg: Announce) -> None:
        """Process an announcement; new information in it is committed first."""
        if await self._upstreams.announce(msg):
            self._note_models(msg)

    async def depart(self, msg: Depart) -> None:
        """Process a departure; it is committed first."""
        await self._upstreams.depart(msg)

    def _is_configured_service(self, service: str) -> bool:
        """Whether upstreams of a service may serve; True while there is no document."""
        return self._table is None or self._service(service) is not None

    def _service(self, name: str) -> ServiceSpec | None:
        """Return a service of the document in force, or one that it has just dropped."""
        spec = self._table.services.get(name) if self._table is not None else None
        return spec if spec is not None else self._retired.get(name)

    def _note_models(self, msg: Announce) -> None:
        engine = self._placer.engines.get(msg.record.instance)
        if engine is None or msg.holds is None or engine.models:
            return
        engine.models = dict(msg.holds.models)

    def _on_serving(self, serving: list[UpstreamRecord]) -> None:
        """Update gateways, placement and orders to the upstreams that serve now."""
        self._origins.set_mixed(self._state.roster.mixed_services())
        self._broadcaster.send_upstreams(serving)
        self._broadcaster.send_controllers(
            tuple(member.address for member in self._replica.members)
        )
        self._engines.set_engines(self._engines_of(serving))
        self._links.set_engines(self._placer.engines, (one.instance for one in serving))
        self._limits.set_serving(serving)
        self._rejections.set_serving(serving)
        self._backoffs.set_serving(serving)

    def _engines_of(self, serving: list[UpstreamRecord]) -> Iterator[EngineRecord]:
        for record in serving:
            spec = self._service(record.service)
            if spec is not None and spec.engine is not None:
                yield EngineRecord(record, spec.engine)

    # Decisions

    def _carry_out_decisions(self) -> None:
        for decision in self._placer.decide():
            self._carry_out(decision)
        self._limits.send_due()
        self._backoffs.send_due()
        self._origins.send_due()
        self._engines.resync()

    def _carry_out(self, decision: Decision) -> None:
        match decision:
            case Grant(ticket):
                self._origins.granted(decision)
                self._sessions.send_to_holder(ticket, decision)
            case Reject(ticket, reason):
                log.info("place: ticket=%s rejected reason=%s", ticket, reason)
                self._origins.not_granted(ticket)
                self._sessions.send_to_holder(ticket, decision)
                self._sessions.release_ticket(ticket)
            case order:
                self._engines.submit(order)
