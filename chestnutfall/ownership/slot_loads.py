"""Loads of adapters onto one engine, into a free slot or that of an evicted adapter."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..clock import Clock
from ..config.typed_config import TypedConfig
from .adapter_loader import AdapterLoader, LoadOutcome
from .engine_slots import EngineSlots
from .load_failures import LoadFailures
from .slot import Slot
from .ticket_waiter import TicketWaiter

REFRESH_MS = 1000
"""Interval between reads of the engine's state; after a refused load none begins sooner."""


class SlotLoads:
    """Selects the slot of each load, and applies how the load ended.

    Parameters
    ----------
    is_wanted : callable
        Whether a request waits for an adapter.
    on_end : callable
        Called after each load, whether or not it succeeded; not after one that `close` cancelled.
    """

    def __init__(
        self,
        slots: EngineSlots,
        loader: AdapterLoader,
        config: Callable[[], TypedConfig],
        clock: Clock,
        is_wanted: Callable[[str], bool],
        on_end: Callable[[], None],
    ) -> None:
        self._slots = slots
        self._loader = loader
        self._config = config
        self._clock = clock
        self._is_wanted = is_wanted
        self._on_end = on_end
        self._failures = LoadFailures()
        self._loads: dict[str, asyncio.Task[None]] = {}
        self._no_loads_before_ms = 0

    def backoff_ms(self, adapter: str, now_ms: int) -> int:
        """Time until an adapter whose load failed may be loaded again; 0 when it may now."""
        return self._failures.wait_ms(adapter, now_ms)

    async def close(self) -> None:
        """Cancel loads and wait for their orders, so that none is sent after the hand-over."""
        loads = list(self._loads.values())
        for task in loads:
            task.cancel()
        await asyncio.gather(*loads, return_exceptions=True)

    def begin(self, waiting: TicketWaiter, now_ms: int) -> None:
        """Begin the load for a waiting request, if there is a slot for it or one to evict."""
        if not self._slots.count or now_ms < self._no_loads_before_ms:
            return
        victim: Slot | None = None
        if self._slots.is_full():
            victim = self._slots.victim(now_ms)
            if victim is None:
                self._drain_one_slot(waiting, now_ms)
                return
            victim.evicting = True
        adapter = waiting.req.adapter
        self._slots.begin_load(adapter, now_ms)
        task = asyncio.ensure_future(self._load(adapter, victim))
        self._loads[adapter] = task
        task.add_done_callback(lambda _: self._loads.pop(adapter, None))

    def _drain_one_slot(self, waiting: TicketWaiter, now_ms: int) -> None:
        # Under steady load a popular adapter always has pins, and a request for another adapter
        # would wait for ever. After a while one slot accepts no new tickets until it is evicted.
        if now_ms - waiting.since_ms < self._config().policy.drain_after_ms:
            return
        self._slots.drain_one()

    async def _load(self, adapter: str, victim: Slot | None) -> None:
        outcome = LoadOutcome.NOT_STARTED
        try:
            outcome = await self._loader.load(
                adapter, victim, lambda: self._is_wanted(adapter), self._slots.remove
            )
        finally:
            self._apply_outcome(adapter, outcome)
            if victim is not None:
                victim.evicting = victim.draining = False
        self._on_end()

    def _apply_outcome(self, adapter: str, outcome: LoadOutcome) -> None:
        now_ms = self._clock.now_ms()
        if self._slots.end_load(adapter, outcome is LoadOutcome.LOADED):
            self._failures.loaded(adapter)
            return
        if outcome is LoadOutcome.FAILED:
            self._failures.failed(adapter, now_ms, self._config().policy.load_backoff_ms)
        else:
            # The engine refused, or was not reached. An immediate retry would use up the shared
            # load permits in a tight loop; the engine's state is refreshed first.
            self._no_loads_before_ms = now_ms + REFRESH_MS
