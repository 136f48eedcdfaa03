"""Which engines hold which adapters, as the leader last told."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from ..coordination.messages import Held, HoldingsChange
from ..placement import AdapterName

COPIES = 40
"""Adapters that an engine surely keeps in its own memory after it dropped them."""


class Holders:
    """Engines by adapter, now and last."""

    def __init__(self) -> None:
        self._held: dict[AdapterName, dict[str, Held]] = {}
        self._last: dict[AdapterName, str] = {}
        self._dropped: dict[str, deque[AdapterName]] = {}

    def take(self, change: HoldingsChange) -> None:
        """Apply a change."""
        if change.whole:
            self._held.clear()
        for engine in change.engines:
            for name in engine.dropped:
                self._drop(engine.instance, AdapterName(engine.model, name))
            for name, version in engine.added.items():
                held = Held(engine.instance, AdapterName(engine.model, name), version)
                self._held.setdefault(held.adapter, {})[held.instance] = held

    def of(self, adapter: AdapterName) -> Iterable[Held]:
        """Engines that hold `adapter`."""
        return self._held.get(adapter, {}).values()

    def last_on(self, adapter: AdapterName) -> str:
        """The engine that dropped `adapter` last and probably has a copy; empty if unknown."""
        return self._last.get(adapter, "")

    def _note_dropped(self, instance: str, adapter: AdapterName) -> None:
        dropped = self._dropped.setdefault(instance, deque())
        dropped.append(adapter)
        self._last[adapter] = instance
        if len(dropped) > COPIES:
            oldest = dropped.popleft()
            if self._last.get(oldest) == instance and oldest not in dropped:
                del self._last[oldest]

    def _drop(self, instance: str, adapter: AdapterName) -> None:
        self._note_dropped(instance, adapter)
        engines = self._held.get(adapter, {})
        engines.pop(instance, None)
        if not engines:
            self._held.pop(adapter, None)
