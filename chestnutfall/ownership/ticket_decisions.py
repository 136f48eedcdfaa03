"""Decides what becomes of each request that waits for a ticket of one engine."""

from __future__ import annotations

from collections.abc import Callable

from ..config.typed_config import TypedConfig
from ..observability.metrics import Metrics
from .engine_send_limit import EngineSendLimit
from .engine_slots import EngineSlots
from .messages import TicketGrant
from .slot import Slot
from .slot_loads import SlotLoads
from .ticket_waiter import TicketWaiter

RETRY_MS = 1000
"""Retry time of requests that waited in vain for a ticket."""


class TicketDecisions:
    """Grants a waiting request its ticket, refuses it or starts the load that it needs."""

    def __init__(
        self,
        slots: EngineSlots,
        loads: SlotLoads,
        config: Callable[[], TypedConfig],
        metrics: Metrics,
    ) -> None:
        self._slots = slots
        self._loads = loads
        self._config = config
        self._metrics = metrics

    def decide(self, waiting: TicketWaiter, send_limit: EngineSendLimit, now_ms: int) -> None:
        """Grant the ticket, refuse the request or start a load for it, or let it wait on."""
        adapter = waiting.req.adapter
        if waiting.is_expired(now_ms):
            waiting.refuse("no_capacity_in_time", RETRY_MS)
            return
        backoff_ms = self._loads.backoff_ms(adapter, now_ms)
        slot = self._slots.get(adapter)
        if slot is None and backoff_ms > 0:
            waiting.refuse("adapter_load_failed", backoff_ms)
        elif slot is None:
            waiting.needed_load = True
            self._loads.begin(waiting, now_ms)
        elif slot.takes_work:
            self._grant(waiting, slot, send_limit, now_ms)
        else:
            waiting.needed_load = True

    def _grant(
        self, waiting: TicketWaiter, slot: Slot, send_limit: EngineSendLimit, now_ms: int
    ) -> None:
        if self._slots.running() >= self._config().limits.running_per_engine:
            return
        if send_limit.wait_ms(0):
            return
        send_limit.note_sent()
        slot.pins[waiting.req.attempt_id] = waiting.session
        slot.used_ms = now_ms
        waited_ms = now_ms - waiting.since_ms
        stalled_ms = waited_ms if waiting.needed_load else 0
        self._metrics.timing("queue_ms", waited_ms)
        if waiting.needed_load:
            self._metrics.timing("load_stall_ms", stalled_ms)
        waiting.fut.set_result(TicketGrant(waiting.req.attempt_id, stalled_ms))
