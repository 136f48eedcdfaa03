"""The one gateway that decides for an engine."""

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
from .adapter_loader import STATE_TIMEOUT_MS, AdapterLoader, LoadOutcome
from .engine_sends import EngineSends
from .load_failures import LoadFailures
from .load_permits import LoadPermits
from .messages import (
    LAST_DISPATCH_MS,
    EngineView,
    TicketEnd,
    TicketGrant,
    TicketRefusal,
    TicketRequest,
)
from .slot import Slot
from .ticket_queue import FULL, FULL_RETRY_MS, TicketQueue
from .waiting import Waiting

log = logging.getLogger(__name__)
REFRESH_MS = 1000
LOOK_MS = 250
LEAST_LOOK_MS = 5
"""A queue that waits for something else than a limit is not looked at all the time."""
RETRY_MS = 1000


class EngineOwner:
    """Slots, queue and loads of one engine, while this gateway owns it."""

    def __init__(
        self,
        engine: str,
        may_act: Callable[[], int | None],
        registry: UpstreamRegistry,
        api: EngineApi,
        permits: LoadPermits,
        config: Callable[[], TypedConfig],
        clock: Clock,
        metrics: Metrics,
        is_gone: Callable[[str], bool],
        on_view: Callable[[], None] = lambda: None,
    ) -> None:
        self.engine = engine
        self._on_view = on_view
        self._may_act = may_act
        self._registry = registry
        self._api = api
        self._config = config
        self._clock = clock
        self._metrics = metrics
        self._is_gone = is_gone
        self._slots: dict[str, Slot] = {}
        self._slot_count = 0
        self._incarnation = ""
        self._queue = TicketQueue()
        self._failures = LoadFailures()
        self._loads: dict[str, asyncio.Task[None]] = {}
        self._no_loads_before_ms = 0
        self._changed_ms = 0
        self._sends = EngineSends(engine, clock)
        self._loader = AdapterLoader(engine, may_act, registry, api, permits, clock, metrics)

    async def run(self) -> None:
        """Take over the engine, then keep what is known of it fresh."""
        try:
            while True:
                await self._refresh()
                self._pump()
                await self._until_refresh_is_due()
        finally:
            self._queue.refuse_all("owner_changed", 0)
            self._queue.drop_answered()

    async def _until_refresh_is_due(self) -> None:
        """Wait, shorter when the engine was not reached or announces a new incarnation."""
        due_ms = self._clock.now_ms() + REFRESH_MS
        while self._clock.now_ms() < due_ms:
            await self._clock.sleep_ms(self._look_ms())
            self._pump()
            upstream = self._registry.get(self.engine)
            if upstream and upstream.announcement.incarnation != self._incarnation:
                return

    def _look_ms(self) -> int:
        """Time until something may have changed without a message."""
        if not self._queue:
            return LOOK_MS
        return min(max(self._sends.wait_ms(0), LEAST_LOOK_MS), LOOK_MS)

    async def close(self) -> None:
        """Wait for orders in progress, so that none is sent after the hand-over."""
        loads = list(self._loads.values())
        for task in loads:
            task.cancel()
        await asyncio.gather(*loads, return_exceptions=True)

    # Tickets

    async def acquire(self, req: TicketRequest, session: str) -> TicketGrant | TicketRefusal:
        """Wait for a ticket, at most as long as the entry waits."""
        limits = self._config().limits
        if req.limit is not None:
            self.hear(req.limit)
        ahead = self._queue.before(req.rank)
        refusal = self._sends.refusal(req, ahead, is_full=False)
        if refusal is not None:
            return refusal
        if len(self._queue) >= limits.queue_per_engine and not self._queue.shed_for(req):
            full = TicketRefusal(req.attempt_id, FULL, FULL_RETRY_MS)
            return self._sends.refusal(req, ahead, is_full=True) or full
        fut: asyncio.Future[TicketGrant | TicketRefusal] = (
            asyncio.get_running_loop().create_future()
        )
        waiting = Waiting(req, session, self._clock.now_ms(), fut)
        self._queue.add(waiting)
        self._pump()
        try:
            return await fut
        except asyncio.CancelledError:
            # The entry is gone; a ticket granted in this very moment would pin for ever.
            self.end(TicketEnd(req.attempt_id))
            raise
        finally:
            self._queue.remove(waiting)

    def end(self, msg: TicketEnd) -> None:
        """Unpin what the ticket pinned, or drop its request from the queue."""
        self._queue.withdraw(msg.attempt_id)
        for slot in self._slots.values():
            slot.pins.pop(msg.attempt_id, None)
        self._pump()

    def hear(self, heard: HeardLimit) -> None:
        """Take in what an answer said of this engine's limit."""
        if heard.instance == f"{self.engine}/{self._incarnation}" and self._sends.hear(heard):
            self._pump()

    def hear_backoff(self, heard: HeardBackoff) -> None:
        """Take in what this engine asked of an entry; the others prefer other engines meanwhile."""
        if heard.instance == f"{self.engine}/{self._incarnation}":
            self._sends.hear_backoff(heard)
            self._on_view()

    def note_resume(self) -> None:
        """Count that the engine was asked for the rest of a run."""
        self._sends.sent()

    def view(self) -> EngineView:
        """What entry gateways need to choose an engine."""
        ready = tuple(s.adapter for s in self._slots.values() if s.takes_work)
        send_wait_ms = max(self._sends.wait_ms(len(self._queue)), self._sends.backoff_ms())
        return EngineView(self.engine, ready, self._running(), len(self._queue), send_wait_ms)

    def _running(self) -> int:
        return sum(len(slot.pins) for slot in self._slots.values())

    # Decisions

    def _pump(self) -> None:
        """Grant, refuse or start a load for whatever waits."""
        now_ms = self._clock.now_ms()
        self._on_view()
        self._queue.drop_answered()
        if self._may_act() is None:
            self._queue.refuse_all("owner_changed", 0)
            return
        if not self._registry.takes_work(self.engine):
            self._queue.refuse_all("engine_leaving", 0)
            return
        for waiting in self._queue.by_urgency(now_ms, self._config().policy.aging_ms):
            self._decide(waiting, now_ms)

    def _decide(self, waiting: Waiting, now_ms: int) -> None:
        adapter = waiting.req.adapter
        if waiting.is_late(now_ms):
            waiting.refuse("no_capacity_in_time", RETRY_MS)
            return
        backoff_ms = self._failures.wait_ms(adapter, now_ms)
        slot = self._slots.get(adapter)
        if slot is None and backoff_ms > 0:
            waiting.refuse("adapter_load_failed", backoff_ms)
        elif slot is None:
            waiting.needed_load = True
            self._make_room_and_load(waiting, now_ms)
        elif slot.takes_work:
            self._grant(waiting, slot, now_ms)
        else:
            waiting.needed_load = True

    def _grant(self, waiting: Waiting, slot: Slot, now_ms: int) -> None:
        if self._running() >= self._config().limits.running_per_engine:
            return
        if self._sends.wait_ms(0):
            return
        self._sends.sent()
        slot.pins[waiting.req.attempt_id] = waiting.session
        slot.used_ms = now_ms
        waited_ms = now_ms - waiting.since_ms
        stalled_ms = waited_ms if waiting.needed_load else 0
        self._metrics.timing("queue_ms", waited_ms)
        if waiting.needed_load:
            self._metrics.timing("load_stall_ms", stalled_ms)
        waiting.fut.set_result(TicketGrant(waiting.req.attempt_id, stalled_ms))

    def _make_room_and_load(self, waiting: Waiting, now_ms: int) -> None:
        if not self._slot_count or now_ms < self._no_loads_before_ms:
            return
        victim: Slot | None = None
        taken = sum(not slot.leaving for slot in self._slots.values())
        if taken >= self._slot_count:
            victim = self._victim(now_ms)
            if victim is None:
                self._close_one(waiting, now_ms)
                return
            victim.leaving = True
        adapter = waiting.req.adapter
        self._slots[adapter] = Slot(adapter, False, now_ms)
        task = asyncio.ensure_future(self._load(adapter, victim))
        self._loads[adapter] = task
        task.add_done_callback(lambda _: self._loads.pop(adapter, None))

    def _victim(self, now_ms: int) -> Slot | None:
        """The least recently used slot that nothing pins, one closed for this first."""
        free = (slot for slot in self._slots.values() if slot.is_evictable(now_ms))
        return min(free, key=lambda slot: (not slot.closing, slot.used_ms), default=None)

    def _close_one(self, waiting: Waiting, now_ms: int) -> None:
        # Under steady load a hot adapter always has a ticket out, and a request for a cold one
        # would wait for ever. After a while one slot takes no new work until it can be evicted.
        if now_ms - waiting.since_ms < self._config().policy.drain_after_ms:
            return
        if any(slot.closing for slot in self._slots.values()):
            return
        ready = [slot for slot in self._slots.values() if slot.ready]
        if ready:
            min(ready, key=lambda slot: (len(slot.pins), slot.used_ms)).closing = True

    # Loads

    async def _load(self, adapter: str, victim: Slot | None) -> None:
        outcome = LoadOutcome.NOT_STARTED
        try:
            outcome = await self._loader.load(
                adapter, victim, lambda: self._queue.wants(adapter), self._forget
            )
        finally:
            self._take_outcome(adapter, outcome)
            if victim is not None:
                victim.leaving = victim.closing = False
        self._pump()

    def _forget(self, slot: Slot) -> None:
        self._changed_ms = self._clock.now_ms()
        self._slots.pop(slot.adapter, None)

    def _take_outcome(self, adapter: str, outcome: LoadOutcome) -> None:
        now_ms = self._clock.now_ms()
        self._changed_ms = now_ms
        slot = self._slots.get(adapter)
        if outcome is LoadOutcome.LOADED and slot is not None:
            self._failures.loaded(adapter)
            slot.ready = True
            return
        self._slots.pop(adapter, None)
        if outcome is LoadOutcome.FAILED:
            self._failures.failed(adapter, now_ms, self._config().policy.load_backoff_ms)
        else:
            # The engine refused, or could not be asked. Trying again at once would spend the
            # office's permits in a tight loop; a fresh look at the engine comes first.
            self._no_loads_before_ms = now_ms + REFRESH_MS

    # What the engine says

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
        self._slot_count = state.slots
        # A load or eviction that ended while the report was on its way is not in it yet.
        if asked_ms > self._changed_ms:
            self._match_slots(state)
        self._end_orphans(state, asked_ms)

    def _take_over(self, state: EngineState, now_ms: int) -> None:
        """Start from what an engine holds: after a change of owner, or its restart."""
        first = not self._incarnation
        self._incarnation = state.incarnation
        self._sends = EngineSends(self.engine, self._clock)
        inherited_until_ms = now_ms + LAST_DISPATCH_MS if first else 0
        self._slots = {
            adapter: Slot(adapter, True, now_ms, inherited_until_ms)
            for adapter, status in state.adapters.items()
            if status == "ready"
        }
        log.info("owner: took over %s with %s", self.engine, sorted(self._slots))

    def _match_slots(self, state: EngineState) -> None:
        for adapter, slot in list(self._slots.items()):
            if slot.ready and state.adapters.get(adapter) != "ready" and not slot.leaving:
                del self._slots[adapter]
        for adapter, status in state.adapters.items():
            if adapter not in self._slots and status == "ready":
                self._slots[adapter] = Slot(adapter, True, self._clock.now_ms())

    def _end_orphans(self, state: EngineState, asked_ms: int) -> None:
        """Unpin tickets of gateways that are gone, once the engine shows that none runs."""
        for slot in self._slots.values():
            for attempt_id, session in list(slot.pins.items()):
                if self._is_gone(session) and attempt_id not in state.running:
                    if asked_ms >= slot.used_ms + LAST_DISPATCH_MS:
                        del slot.pins[attempt_id]
