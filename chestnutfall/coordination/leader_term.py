"""What a controller does for gateways and upstreams during one term of leading."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Iterator

from ..clock import Clock
from ..consensus import Replica
from ..control.commands import Command, NameVersion, PutDocument
from ..control.control_state import ControlState
from ..control.crash_messages import AnsweredRun, BrokenRun, CrashReport
from ..control.crash_monitor import CrashMonitor
from ..control.upstream_record import UpstreamRecord
from ..limits.limit_registry import LimitRegistry
from ..limits.messages import AskTurn, HeardLimit
from ..placement import AdapterName, Decision, Grant, PlaceRequest, Reject, RunOutcome
from ..placement.placer import Placer
from ..placement.run_times import RunTimes
from ..quota.messages import AskQuota, UsedQuota, WasShort
from ..quota.quota_ledger import QuotaLedger
from ..routes import DocumentCodec, RouteTable
from ..settings.quota_bounds import QuotaBounds
from ..settings.repeat_bounds import RepeatBounds
from ..signals.backoff_registry import BackoffRegistry
from ..signals.messages import HeardBackoff
from .backoff_desk import BackoffDesk
from .document_box import unpack
from .engine_control import EngineControl
from .engine_desk import EngineDesk, EngineRecord
from .gateway_news import GatewayNews
from .gateway_session import GatewaySession
from .gateway_sessions import GatewaySessions
from .kind_keeper import KindKeeper
from .limit_desk import LimitDesk
from .messages import (
    AnswerRepeat,
    AskRepeat,
    GatewayMessage,
    NotLeading,
    Release,
    Withdraw,
)
from .relay_messages import Announce, Depart
from .repeat_pool import RepeatPool
from .upstream_desk import UpstreamDesk

log = logging.getLogger(__name__)
BUSY_TICK_MS = 8
"""A request that waits for a load is granted at most this late."""
IDLE_TICK_MS = 100
"""Small beside the times in which anything has to be told."""


class LeaderTerm:
    """Sessions of gateways, liveness of upstreams, placement and orders."""

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
        self._repeats = RepeatPool(repeats, clock)
        self._quotas = QuotaLedger(quotas, clock)
        self._crashes = CrashMonitor(replica, state, clock)
        self._sessions = GatewaySessions()
        self._limits = LimitDesk(limits, backoffs, self._placer, self._sessions, clock)
        self._backoffs = BackoffDesk(backoffs, self._placer, self._sessions, clock)
        self._news = GatewayNews(self._sessions, state, self._placer, self._quotas, clock)
        self._table: RouteTable | None = None
        self._wake = asyncio.Event()
        self._engines = EngineDesk(
            self._placer, control, clock, self.term, self.leads, self._wake.set
        )
        self._upstreams = UpstreamDesk(
            replica,
            state,
            self._crashes,
            clock,
            heartbeat_ms,
            self._is_named_service,
            self._on_serving,
            self._wake.set,
        )

    # Life

    async def run(self) -> None:
        """Work until cancelled or the leadership is lost."""
        self._read_document()
        for (model, adapter), version in self._state.versions.items():
            self._placer.name_version(AdapterName(model, adapter), version)
        for service, kind in self._state.engine_kinds.items():
            self._placer.kinds.restore(service, kind)
        keeper = KindKeeper(self._replica, self._state, self._placer, self._clock)
        keeping = [asyncio.ensure_future(one.run()) for one in (keeper, self._crashes)]
        try:
            while self.leads():
                self._news.tell_what_is_due()
                await self._upstreams.look()
                self._carry_out_decisions()
                await self._until_next_tick()
        finally:
            for task in keeping:
                task.cancel()
            self._end()

    def leads(self) -> bool:
        """Whether this controller still is the only leader."""
        return self._replica.term == self.term and self._replica.can_decide()

    async def _until_next_tick(self) -> None:
        waiting = self._placer.waiting or self._limits.waiting
        tick_ms = BUSY_TICK_MS if waiting else IDLE_TICK_MS
        tick_ms = min(tick_ms, max(self._upstreams.due_in_ms(), 1))
        with contextlib.suppress(TimeoutError):
            await self._clock.within_ms(tick_ms, self._wake.wait())
        self._wake.clear()

    def _end(self) -> None:
        self._engines.close()
        self._sessions.tell_all(NotLeading(""), None)

    def on_apply(self, command: Command) -> None:
        """Take a committed command."""
        match command:
            case PutDocument():
                self._read_document()
            case NameVersion(model, adapter, version):
                self._placer.name_version(AdapterName(model, adapter), version)
            case _:
                pass
        self._wake.set()

    def _read_document(self) -> None:
        held = self._state.document
        known = self._table.document.version if self._table is not None else -1
        # A document that is sent again, or an older one, changes nothing; reading one of some
        # thousand routes takes milliseconds in which nothing is placed.
        if held.version > known:
            self._table = RouteTable(self._codec.decode(unpack(held.content)))
            self._quotas.use(self._table.document.organisations)
            self._upstreams.look_soon()

    # Gateways

    def join(self, session: GatewaySession, document_version: int) -> None:
        """Begin to serve a gateway."""
        self._sessions.add(session)
        self._news.greet(session, document_version)
        self._limits.greet(session)
        self._backoffs.greet(session)

    def part(self, session: GatewaySession) -> None:
        """End a gateway's session and free what it held."""
        for ticket in self._sessions.remove(session):
            self._placer.withdraw(ticket)
        self._limits.part(session)
        self._backoffs.part(session)

    def take(self, session: GatewaySession, msg: GatewayMessage) -> None:
        """Take a message of a gateway."""
        match msg:
            case AskRepeat(number, service):
                # A leader that was cut off may have a successor that gives out repeats too.
                given = self.leads() and self._repeats.take(service)
                session.send(AnswerRepeat(number, given))
                return
            case AskQuota(number, organisation, units):
                # One that was cut off gives no answer, and its gateways soon leave it.
                if self.leads():
                    session.send(self._quotas.ask(number, organisation, units))
                return
            case WasShort(organisations):
                self._quotas.note_short(organisations)
                return
            case UsedQuota(uses):
                for use in uses:
                    self._quotas.charge(use.organisation, use.units)
                self._news.tell_quotas()
                return
            case HeardLimit():
                self._limits.hear(session, msg)
            case HeardBackoff():
                self._backoffs.hear(session, msg)
            case AskTurn():
                self._limits.ask(session, msg)
            case BrokenRun() | AnsweredRun():
                self._crashes.handle_report(msg)
                self._leave_if_ended(msg)
                return
            case PlaceRequest():
                self._sessions.hold(msg.ticket, session)
                self._placer.submit(msg)
            case Release(ticket, outcome, times):
                self._take_release(ticket, RunOutcome(outcome), times)
                self._sessions.free(ticket)
            case Withdraw(ticket):
                self._placer.withdraw(ticket)
                self._sessions.free(ticket)
        self._wake.set()

    def _leave_if_ended(self, report: CrashReport) -> None:
        if isinstance(report, BrokenRun) and report.refuses:
            self._upstreams.ended(report.instance)

    def _take_release(self, ticket: str, outcome: RunOutcome, times: RunTimes) -> None:
        instance = self._placer.instance_of(ticket)
        if outcome is RunOutcome.UNREACHABLE:
            self._upstreams.unreachable(instance)
        elif outcome is RunOutcome.DONE and instance:
            # An engine that is cut off from the controllers, but not from the gateways, serves.
            self._upstreams.answered(instance)
        self._placer.release(ticket, outcome, times)

    # Upstreams

    async def announce(self, msg: Announce) -> None:
        """Take an announcement; what is new in it is committed first."""
        if await self._upstreams.announce(msg):
            self._note_models(msg)

    async def depart(self, msg: Depart) -> None:
        """Take a departure."""
        await self._upstreams.depart(msg)

    def _is_named_service(self, service: str) -> bool:
        """Whether the document in force names the service; true while there is no document."""
        return self._table is None or service in self._table.services

    def _note_models(self, msg: Announce) -> None:
        engine = self._placer.engines.get(msg.record.instance)
        if engine is None or msg.holds is None or engine.models:
            return
        engine.models = dict(msg.holds.models)

    def _on_serving(self, serving: list[UpstreamRecord]) -> None:
        """Bring placement, orders and gateways to the upstreams that serve now."""
        self._news.tell_upstreams(serving)
        self._news.tell_controllers(tuple(member.address for member in self._replica.members))
        self._engines.match(self._engines_of(serving))
        self._limits.use(serving)
        self._backoffs.use(serving)

    def _engines_of(self, serving: list[UpstreamRecord]) -> Iterator[EngineRecord]:
        for record in serving:
            spec = self._table.services.get(record.service) if self._table else None
            if spec is not None and spec.engine is not None:
                yield EngineRecord(record, spec.engine)

    # Decisions

    def _carry_out_decisions(self) -> None:
        for decision in self._placer.decide():
            self._carry_out(decision)
        self._limits.carry_out()
        self._backoffs.carry_out()
        self._engines.resync()

    def _carry_out(self, decision: Decision) -> None:
        match decision:
            case Grant(ticket):
                self._sessions.tell(ticket, decision)
            case Reject(ticket, reason):
                log.info("place: ticket=%s rejected reason=%s", ticket, reason)
                self._sessions.tell(ticket, decision)
                self._sessions.free(ticket)
            case order:
                self._engines.give(order)
