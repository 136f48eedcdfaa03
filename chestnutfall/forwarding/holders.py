"""Which engines hold which adapters, as the leader last told."""

from __future__ import annotations

from collections.abc import Iterable

from ..coordination.messages import Held, HoldingsChange
from ..placement import AdapterName


class Holders:
    """Engines by adapter."""

    def __init__(self) -> None:
        self._held: dict[AdapterName, dict[str, Held]] = {}

    def take(self, change: HoldingsChange) -> None:
        """Apply a change."""
        if change.whole:
            self._held.clear()
        for held in change.dropped:
            self._drop(held)
        for held in change.added:
            self._held.setdefault(held.adapter, {})[held.instance] = held

    def of(self, adapter: AdapterName) -> Iterable[Held]:
        """Engines that hold `adapter`."""
        return self._held.get(adapter, {}).values()

    def _drop(self, held: Held) -> None:
        engines = self._held.get(held.adapter, {})
        engines.pop(held.instance, None)
        if not engines:
            self._held.pop(held.adapter, None)
