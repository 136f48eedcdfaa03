"""Loads of base models on empty engines, which no request triggers."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator

from ..clock import SlidingWindow
from .decisions import LoadModel
from .engine import Engine

WINDOW_MS = 5_000
"""The weight store's rate holds in every window of this length."""


class ModelLoads:
    """Decides which base models to load over all engines, within the weight store's rate."""

    def __init__(self) -> None:
        self._started = SlidingWindow(WINDOW_MS)

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
        if self._started.count(now_ms) >= max(per_s * WINDOW_MS / 1000, 1):
            return False
        self._started.note(now_ms)
        return True


def _missing_model(engine: Engine, peers: Iterable[Engine]) -> str | None:
    """Return the fitting model that fewest other engines hold; None if the engine needs no load."""
    if engine.models or engine.loading_model or not engine.synced:
        return None
    holders = [{*peer.models, peer.loading_model} for peer in peers]
    fitting = [m.name for m in engine.spec.models if m.weights_mb <= engine.spec.weights_mb]
    return min(fitting, key=lambda name: sum(name in held for held in holders), default=None)
