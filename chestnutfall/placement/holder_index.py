"""Index of engines by adapter, which saves a scan of all engines for each request."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from .adapter_name import AdapterName
from .engine import Engine


class HolderIndex:
    """Engines that hold an adapter, load it, or probably have a copy of it.

    Entries are added when a load begins or a report arrives. An entry that no longer applies is
    removed when it is looked up.
    """

    def __init__(self, engines: Mapping[str, Engine]) -> None:
        self._engines = engines
        self._holders: dict[AdapterName, set[str]] = {}

    def add(self, name: AdapterName, instance: str) -> None:
        """Record that an engine holds or loads an adapter."""
        self._holders.setdefault(name, set()).add(instance)

    def of(self, name: AdapterName) -> Iterator[Engine]:
        """Yield the engines that hold the adapter, load it or probably have a copy."""
        instances = self._holders.get(name, set())
        for instance in sorted(instances):
            engine = self._engines.get(instance)
            if engine is not None and (name in engine.holdings or engine.likely_has_copy(name)):
                yield engine
            else:
                instances.discard(instance)
        if not instances:
            self._holders.pop(name, None)
