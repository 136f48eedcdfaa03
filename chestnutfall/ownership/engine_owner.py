"""Decisions for one engine by the gateway that owns it."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from ..clock import Clock
from ..config.typed_config import TypedConfig
from ..engine_edge import EngineApi, EngineState
from ..limits.messages import HeardLimit
from ..membership import UpstreamRegistry
from ..observability.metrics import Metrics
from ..signals.messages import HeardBackoff
from .adapter_loader import STATE_TIMEOUT_MS, AdapterLoader
from .engine_send_limit import EngineSendLimit
from .engine_slots import EngineSlots
from .load_permits import LoadPermits
from .messages import (
    MAX_DISPATCH_DELAY_MS,
    EngineView,
    TicketEnd,
    TicketGrant,
    TicketRefusal,
    TicketRequest,
)
from .slot_loads import REFRESH_MS, SlotLoads
from .ticket_decisions import TicketDecisions
from .ticket_queue import FULL, FULL_RETRY_MS, TicketQueue
from .ticket_waiter import TicketWaiter

log = logging.getLogger(__name__)
POLL_MS = 250
"""Longest time between two passes over the queue."""
MIN_POLL_MS = 5
"""Bounds the polling of a queue that waits for something other than the engine's limit."""


class EngineOwner:
    """Slots, queue and loads of one engine, while this gateway owns it.

    Parameters
    ----------
    current_epoch : callable
        Returns the epoch of the ownership while this gateway may act for the engine, else None.
    is_gone : callable
        Whether the gateway with a session no longer exists.
    on_view_change : callable
        Called whenever the result of `view` may have changed.
    """

    def __init__(
        self,
        engine: str,
        current_epoch: Callable[[], int | None],
        registry: UpstreamRegistry,
        api: EngineApi,
        permits: LoadPermits,
        config: Callable[[], TypedConfig],
        clock: Clock,
        metrics: Metrics,
        is_gone: Callable[[str], bool],
        on_view_change: Callable[[], None] = lambda: None,
    ) -> None:
        self.engine = engine
        self._on_view_change = on_view_change
        self._current_epoch = current_epoch
        self._registry = registry
        self._api = api
        self._config = config
        self._clock = clock
        self._slots = EngineSlots(clock, is_gone)
        self._incarnation = ""
        self._queue = TicketQueue()
        self._send_limit = EngineSendLimit(engine, clock)
        self._loader = AdapterLoader(engine, current_epoch, registry, api, permits, clock, metrics)
        self._loads = SlotLoads(
            self._slots,
            self._loader,
            config,
            clock,
            self._queue.has_request_for,
            self._process_queue,
        )
        self._decisions = TicketDecisions(self._slots, self._loads, config, metrics)

    async def run(self) -> None:
        """Take over the engine, then refresh its state and process the queue until cancelled."""
        try:
            while True:
                await self._refresh()
                self._process_queue()
                await self._until_refresh_is_due()
        finally:
            self._queue.refuse_all("owner_changed", 0)
            self._queue.drop_answered()

    async def _until_refresh_is_due(self) -> None:
        """Wait for the next refresh.

        Return early when the engine announces an incarnation that was not read yet: after a
        restart, or when it was never reached.
        """
        due_ms = self._clock.now_ms() + REFRESH_MS
        while self._clock.now_ms() < due_ms:
            await self._clock.sleep_ms(self._poll_interval_ms())
            self._process_queue()
            upstream = self._registry.get(self.engine)
            if upstream and upstream.announcement.incarnation != self._incarnation:
                return

    def _poll_interval_ms(self) -> int:
        """Time until the queue may be able to proceed without any message."""
        if not self._queue:
            return POLL_MS
        return min(max(self._send_limit.wait_ms(0), MIN_POLL_MS), POLL_MS)

    async def close(self) -> None:
        """Cancel loads and wait for their orders, so that none is sent after the hand-over."""
        await self._loads.close()

    # Tickets

    async def acquire(self, req: TicketRequest, session: str) -> TicketGrant | TicketRefusal:
        """Wait for a ticket, at most as long as the request allows."""
        limits = self._config().limits
        if req.limit is not None:
            self.note_limit(req.limit)
        ahead = self._queue.count_ahead(req.rank)
        refusal = self._send_limit.refusal(req, ahead, is_full=False)
        if refusal is not None:
            return refusal
        if len(self._queue) >= limits.queue_per_engine and not self._queue.shed_for(req):
            full = TicketRefusal(req.attempt_id, FULL, FULL_RETRY_MS)
            return self._send_limit.refusal(req, ahead, is_full=True) or full
        fut: asyncio.Future[TicketGrant | TicketRefusal] = (
            asyncio.get_running_loop().create_future()
        )
        waiting = TicketWaiter(req, session, self._clock.now_ms(), fut)
        self._queue.add(waiting)
        self._process_queue()
        try:
            return await fut
        except asyncio.CancelledError:
            # The entry gateway is gone; a ticket granted at the same time would never be unpinned.
            self.end(TicketEnd(req.attempt_id))
            raise
        finally:
            self._queue.remove(waiting)

    def end(self, msg: TicketEnd) -> None:
        """Remove the ticket's pin, or refuse its request if it still waits."""
        self._queue.withdraw(msg.attempt_id)
        self._slots.unpin(msg.attempt_id)
        self._process_queue()

    def note_limit(self, report: HeardLimit) -> None:
        """Apply a limit that the engine's present incarnation announced in an answer."""
        if report.instance == f"{self.engine}/{self._incarnation}" and self._send_limit.note_limit(
            report
        ):
            self._process_queue()

    def note_backoff(self, report: HeardBackoff) -> None:
        """Record that the engine asked an entry gateway to back off.

        The published view then makes other gateways prefer other engines.
        """
        if report.instance == f"{self.engine}/{self._incarnation}":
            self._send_limit.note_backoff(report)
            self._on_view_change()

    def note_resume(self) -> None:
        """Count a request for the rest of a run against the engine's limit."""
        self._send_limit.note_sent()

    def view(self) -> EngineView:
        """Return what entry gateways need to select an engine."""
        send_wait_ms = max(
            self._send_limit.wait_ms(len(self._queue)), self._send_limit.backoff_ms()
        )
        return EngineView(
            self.engine,
            self._slots.ready_adapters(),
            self._slots.running(),
            len(self._queue),
            send_wait_ms,
        )

    # Decisions

    def _process_queue(self) -> None:
        """Grant a ticket, refuse the request or start a load, for each waiting request."""
        now_ms = self._clock.now_ms()
        self._on_view_change()
        self._queue.drop_answered()
        if self._current_epoch() is None:
            self._queue.refuse_all("owner_changed", 0)
            return
        if not self._registry.takes_work(self.engine):
            self._queue.refuse_all("engine_leaving", 0)
            return
        for waiting in self._queue.by_urgency(now_ms, self._config().policy.aging_ms):
            self._decisions.decide(waiting, self._send_limit, now_ms)

    # State of the engine

    async def _refresh(self) -> None:
        upstream = self._registry.get(self.engine)
        if upstream is None:
            return
        asked_ms = self._clock.now_ms()
        try:
            state = await self._api.state(upstream.address, STATE_TIMEOUT_MS)
        except ConnectionError:
            return
        if state.incarnation != self._incarnation:
            self._take_over(state, asked_ms)
        self._slots.apply(state, asked_ms)

    def _take_over(self, state: EngineState, now_ms: int) -> None:
        """Take over an engine, after a change of owner or a restart of the engine."""
        first = not self._incarnation
        self._incarnation = state.incarnation
        self._send_limit = EngineSendLimit(self.engine, self._clock)
        inherited_until_ms = now_ms + MAX_DISPATCH_DELAY_MS if first else 0
        self._slots.take_over(state, now_ms, inherited_until_ms)
        log.info("owner: took over %s with %s", self.engine, sorted(self._slots.ready_adapters()))
