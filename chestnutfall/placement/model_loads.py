"""Loads of base models on empty engines, which no request triggers."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator

from .decisions import LoadModel
from .engine import Engine

MAX_INTERVAL_MS = 5_000
"""Longest time between two loads, however low the weight store's rate."""


class ModelLoads:
    """Decides which base models to load over all engines, within the weight store's rate.

    Loads begin one by one. A leader that began as many at once as the store allows in some seconds
    could be followed by another one that does the same.
    """

    def __init__(self) -> None:
        self._next_ms = 0.0

    def decide(self, engines: Collection[Engine], now_ms: int) -> Iterator[LoadModel]:
        """Yield the loads that are due, and count them."""
        for engine in engines:
            if engine.models or engine.loading_model:
                continue
            peers = (one for one in engines if one.service == engine.service)
            model = _missing_model(engine, peers)
            if model is not None and self._may_start(engine.spec.loads_per_s, now_ms):
                engine.loading_model = model
                yield LoadModel(engine.instance, model)

    def _may_start(self, per_s: float, now_ms: int) -> bool:
        """Whether the rate allows one more load; counts the load if so."""
        if now_ms < self._next_ms:
            return False
        interval_ms = min(1000 / per_s, MAX_INTERVAL_MS) if per_s > 0 else MAX_INTERVAL_MS
        # What a decision round comes too late for is made up for by one load at most.
        self._next_ms = max(self._next_ms, now_ms - interval_ms) + interval_ms
        return True


def _missing_model(engine: Engine, peers: Iterable[Engine]) -> str | None:
    """Return the fitting model that fewest other engines hold; None if the engine needs no load."""
    if engine.models or engine.loading_model or not engine.synced:
        return None
    holders = [{*peer.models, peer.loading_model} for peer in peers]
    fitting = [m.name for m in engine.spec.models if m.weights_mb <= engine.spec.weights_mb]
    return min(fitting, key=lambda name: sum(name in held for held in holders), default=None)
