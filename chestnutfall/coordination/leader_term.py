"""Work of the leading controller during one leader term."""

from __future__ import annotations

import asyncio
import contextlib

from ..accounts import MemoryAccount
from ..clock import Clock
from ..consensus import Replica
from ..control.commands import Command, NameVersion, PutDocument
from ..control.control_state import ControlState
from ..control.upstream_record import UpstreamRecord
from ..placement import AdapterName
from ..routes import DocumentCodec
from ..settings.quota_bounds import QuotaBounds
from ..settings.repeat_bounds import RepeatBounds
from .engine_control import EngineControl
from .engine_kind_recorder import EngineKindRecorder
from .gateway_duties import GatewayDuties
from .gateway_session import GatewaySession
from .leader_parts import LeaderParts
from .messages import GatewayMessage, NotLeading
from .order_dispatcher import OrderDispatcher
from .relay_messages import Announce, Depart
from .round_pace import RoundPace
from .term_document import TermDocument

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
        memory: MemoryAccount,
    ) -> None:
        self.term = replica.term
        self._replica = replica
        self._state = state
        self._clock = clock
        self._document = TermDocument(state, codec, clock)
        self._wake = asyncio.Event()
        self._pace = RoundPace(clock)
        self._parts = LeaderParts(
            replica,
            state,
            clock,
            heartbeat_ms,
            repeats,
            quotas,
            memory,
            self._document.is_configured,
            self._on_serving,
            self._wake.set,
        )
        self._placer = self._parts.placer
        self._upstreams = self._parts.upstreams
        self._gateways = GatewayDuties(self._parts, self.leads)
        self._engines = OrderDispatcher(
            self._placer, control, clock, self.term, self.leads, self._wake.set
        )

    # Lifecycle

    async def run(self) -> None:
        """Serve until cancelled or until leadership is lost."""
        self._load_document()
        for (model, adapter), version in self._state.versions.items():
            self._placer.name_version(AdapterName(model, adapter), version)
        for service, kind in self._state.engine_kinds.items():
            self._placer.kinds.restore(service, kind)
        recorder = EngineKindRecorder(self._replica, self._state, self._placer, self._clock)
        tasks = [asyncio.ensure_future(one.run()) for one in (recorder, self._parts.crashes)]
        try:
            while self.leads():
                self._pace.begin()
                self._parts.send_due()
                await self._upstreams.update_if_due()
                self._carry_out_decisions()
                self._pace.end()
                await self._wait_for_tick()
                for task in tasks:
                    if task.done():
                        # Its error ends the term, so that the next one has the task again.
                        task.result()
        finally:
            for task in tasks:
                task.cancel()
            self._end()

    def leads(self) -> bool:
        """Whether this controller is still the only leader."""
        return self._replica.term == self.term and self._replica.is_active_leader()

    async def _wait_for_tick(self) -> None:
        tick_ms = BUSY_TICK_MS if self._parts.has_waiting else IDLE_TICK_MS
        tick_ms = min(tick_ms, max(self._upstreams.due_in_ms(), 1))
        with contextlib.suppress(TimeoutError):
            await self._clock.within_ms(tick_ms, self._wake.wait())
        pause_ms = self._pace.pause_ms()
        if pause_ms:
            await self._clock.sleep_ms(pause_ms)
        self._wake.clear()

    def _end(self) -> None:
        self._engines.close()
        self._parts.sessions.broadcast(NotLeading(""), None)

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
        table = self._document.load()
        if table is not None:
            self._parts.quotas.apply_quotas(table.document.organisations)
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
        return self._parts.helpers.cut_off

    @property
    def cut_links(self) -> int:
        """Number of pairs of a gateway and an upstream that don't reach each other."""
        return self._parts.links.cut_links

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

    def _note_models(self, msg: Announce) -> None:
        engine = self._placer.engines.get(msg.record.instance)
        if engine is None or msg.holds is None or engine.models:
            return
        engine.models = dict(msg.holds.models)

    def _on_serving(self, serving: list[UpstreamRecord]) -> None:
        """Update orders, placement and gateways to the upstreams that serve now."""
        self._engines.set_engines(self._document.engines_of(serving))
        controllers = tuple(member.address for member in self._replica.members)
        self._parts.set_serving(serving, controllers)

    # Decisions

    def _carry_out_decisions(self) -> None:
        for order in self._parts.decide():
            self._engines.submit(order)
        self._engines.resync()
