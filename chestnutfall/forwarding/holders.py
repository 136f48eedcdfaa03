"""Adapter holders as last received from the leader."""

from __future__ import annotations

from collections.abc import Iterable

from ..coordination.messages import HoldingsChange
from ..placement import AdapterName, ReadyAdapter


class Holders:
    """Engines that hold each adapter, with the version that they hold."""

    def __init__(self) -> None:
        self._held: dict[AdapterName, dict[str, ReadyAdapter]] = {}

    def apply(self, change: HoldingsChange) -> None:
        """Apply a change from the leader; a `whole` one replaces everything known before."""
        if change.whole:
            self._held.clear()
        for engine in change.engines:
            for name in engine.dropped:
                self._drop(engine.instance, AdapterName(engine.model, name))
            for name, version in engine.added.items():
                held = ReadyAdapter(engine.instance, AdapterName(engine.model, name), version)
                self._held.setdefault(held.adapter, {})[held.instance] = held

    def of(self, adapter: AdapterName) -> Iterable[ReadyAdapter]:
        """Return the engines that hold `adapter`."""
        return self._held.get(adapter, {}).values()

    def _drop(self, instance: str, adapter: AdapterName) -> None:
        engines = self._held.get(adapter, {})
        engines.pop(instance, None)
        if not engines:
            self._held.pop(adapter, None)
