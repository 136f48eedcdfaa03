"""Loads that no request asks for: base models on empty engines, newer versions of adapters."""

from __future__ import annotations

from collections.abc import Collection, Iterator

from .adapter_name import AdapterName
from .decisions import Decision, LoadAdapter, LoadModel
from .engine import Engine
from .model_loads import ModelLoads, missing_model


class Upkeep:
    """Brings engines to the models and versions that are wanted."""

    def __init__(self) -> None:
        self._model_loads = ModelLoads()
        self._versions: dict[AdapterName, int] = {}
        self._outdated: set[AdapterName] = set()

    def name_version(self, adapter: AdapterName, version: int) -> None:
        """Requests get this version of the adapter or a newer one from now on."""
        self._versions[adapter] = max(version, self._versions.get(adapter, 0))
        self._outdated.add(adapter)

    def wanted_version(self, adapter: AdapterName) -> int:
        """The newest version named; 0 when none was, and any will do."""
        return self._versions.get(adapter, 0)

    def look_at(self, engine: Engine) -> None:
        """Look for older versions among what an engine holds."""
        self._outdated.update(name for name in engine.holdings if name in self._versions)

    def decide(self, engines: Collection[Engine], now_ms: int) -> Iterator[Decision]:
        """Yield the loads that are due."""
        yield from self._load_models(engines, now_ms)
        for adapter in list(self._outdated):
            yield from self._replace_version(adapter, engines, now_ms)

    def _load_models(self, engines: Collection[Engine], now_ms: int) -> Iterator[Decision]:
        for engine in engines:
            peers = (one for one in engines if one.service == engine.service)
            model = missing_model(engine, peers)
            if model is not None and self._model_loads.may_start(engine.spec.loads_per_s, now_ms):
                engine.loading_model = model
                yield LoadModel(engine.instance, model)

    def _replace_version(
        self, adapter: AdapterName, engines: Collection[Engine], now_ms: int
    ) -> Iterator[Decision]:
        version = self._versions[adapter]
        behind = [
            engine
            for engine in engines
            if adapter in engine.holdings and engine.holdings[adapter].version < version
        ]
        if not behind:
            self._outdated.discard(adapter)
        for engine in behind:
            if engine.can_load_more(now_ms):
                held = engine.holdings[adapter]
                held.version = version
                held.confirmed = False
                held.ordered = False
                held.expected_ms = engine.loads.expected_ms(engine.held_recently(adapter))
                held.ready_ms = int(now_ms + held.expected_ms)
                yield LoadAdapter(engine.instance, adapter, version)
