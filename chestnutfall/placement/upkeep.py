"""Loads that no request asks for: base models on empty engines."""

from __future__ import annotations

from collections.abc import Collection, Iterator

from .decisions import LoadModel
from .engine import Engine
from .model_loads import ModelLoads, missing_model


class Upkeep:
    """Brings engines to the models that are wanted."""

    def __init__(self) -> None:
        self._model_loads = ModelLoads()

    def decide(self, engines: Collection[Engine], now_ms: int) -> Iterator[LoadModel]:
        """Yield the loads that are due."""
        for engine in engines:
            peers = (one for one in engines if one.service == engine.service)
            model = missing_model(engine, peers)
            if model is not None and self._model_loads.may_start(engine.spec.loads_per_s, now_ms):
                engine.loading_model = model
                yield LoadModel(engine.instance, model)
