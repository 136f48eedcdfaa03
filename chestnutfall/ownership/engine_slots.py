"""The adapter slots of one engine."""

from __future__ import annotations

from collections.abc import Callable

from ..clock import Clock
from ..engine_edge import EngineState
from .messages import MAX_DISPATCH_DELAY_MS
from .slot import Slot


class EngineSlots:
    """What an engine holds, and which tickets pin it, as far as its owner knows.

    Parameters
    ----------
    is_gone : callable
        Whether the gateway with a session no longer exists.

    Attributes
    ----------
    count : int
        Slots that the engine has; 0 before its first report.
    """

    def __init__(self, clock: Clock, is_gone: Callable[[str], bool]) -> None:
        self._clock = clock
        self._is_gone = is_gone
        self._slots: dict[str, Slot] = {}
        self._changed_ms = 0
        self.count = 0

    def get(self, adapter: str) -> Slot | None:
        """Return the slot of an adapter; None if the engine doesn't hold it."""
        return self._slots.get(adapter)

    def ready_adapters(self) -> tuple[str, ...]:
        """Return the adapters that take new tickets."""
        return tuple(slot.adapter for slot in self._slots.values() if slot.takes_work)

    def running(self) -> int:
        """Return the number of tickets that pin a slot."""
        return sum(len(slot.pins) for slot in self._slots.values())

    def unpin(self, attempt_id: str) -> None:
        """Remove the pin of a ticket that has ended."""
        for slot in self._slots.values():
            slot.pins.pop(attempt_id, None)

    # Loads

    def is_full(self) -> bool:
        """Whether a load needs another adapter's slot."""
        taken = sum(not slot.evicting for slot in self._slots.values())
        return taken >= self.count

    def begin_load(self, adapter: str, now_ms: int) -> None:
        """Add the slot of an adapter whose load begins."""
        self._slots[adapter] = Slot(adapter, False, now_ms)

    def end_load(self, adapter: str, loaded: bool) -> bool:
        """Mark the slot of an adapter as ready after its load, or remove it.

        Returns
        -------
        bool
            Whether the adapter is ready; False also if its slot was removed meanwhile.
        """
        self._changed_ms = self._clock.now_ms()
        slot = self._slots.get(adapter)
        if slot is None:
            return False
        if loaded:
            slot.ready = True
        else:
            del self._slots[adapter]
        return loaded

    def remove(self, slot: Slot) -> None:
        """Remove the slot of an adapter that was evicted."""
        self._changed_ms = self._clock.now_ms()
        self._slots.pop(slot.adapter, None)

    def victim(self, now_ms: int) -> Slot | None:
        """Return the least recently used slot without pins, preferring draining ones."""
        free = (slot for slot in self._slots.values() if slot.is_evictable(now_ms))
        return min(free, key=lambda slot: (not slot.draining, slot.used_ms), default=None)

    def drain_one(self) -> None:
        """Let one slot accept no new tickets, so that it can be evicted."""
        if any(slot.draining for slot in self._slots.values()):
            return
        ready = [slot for slot in self._slots.values() if slot.ready]
        if ready:
            min(ready, key=lambda slot: (len(slot.pins), slot.used_ms)).draining = True

    # Reports of the engine

    def take_over(self, state: EngineState, now_ms: int, inherited_until_ms: int) -> None:
        """Start from what the engine holds, after a change of owner or a restart of the engine.

        Parameters
        ----------
        inherited_until_ms : int
            Clock time until which requests may still arrive on tickets of an earlier owner.
        """
        self._slots = {
            adapter: Slot(adapter, True, now_ms, inherited_until_ms)
            for adapter, status in state.adapters.items()
            if status == "ready"
        }

    def apply(self, state: EngineState, asked_ms: int) -> None:
        """Apply a report of the engine that was asked for at `asked_ms`."""
        self.count = state.slots
        # The report may lack a load or eviction that ended after it was requested.
        if asked_ms > self._changed_ms:
            self._sync(state)
        self._unpin_orphans(state, asked_ms)

    def _sync(self, state: EngineState) -> None:
        for adapter, slot in list(self._slots.items()):
            if slot.ready and state.adapters.get(adapter) != "ready" and not slot.evicting:
                del self._slots[adapter]
        for adapter, status in state.adapters.items():
            if adapter not in self._slots and status == "ready":
                self._slots[adapter] = Slot(adapter, True, self._clock.now_ms())

    def _unpin_orphans(self, state: EngineState, asked_ms: int) -> None:
        """Remove pins of gateways that are gone, once the engine no longer reports their run."""
        for slot in self._slots.values():
            for attempt_id, session in list(slot.pins.items()):
                if self._is_gone(session) and attempt_id not in state.running:
                    if asked_ms >= slot.used_ms + MAX_DISPATCH_DELAY_MS:
                        del slot.pins[attempt_id]
