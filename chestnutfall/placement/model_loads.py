"""Which base model an engine should load, and when it may."""

from __future__ import annotations

from collections.abc import Iterable

from ..clock import SlidingWindow
from .engine import Engine

WINDOW_MS = 5_000
"""The weight store's rate is kept in every window of this length."""


class ModelLoads:
    """Loads from the weight store over all engines, under its rate."""

    def __init__(self) -> None:
        self._started = SlidingWindow(WINDOW_MS)

    def may_start(self, per_s: float, now_ms: int) -> bool:
        """Whether one more load keeps the rate; counts it if so."""
        if self._started.count(now_ms) >= max(per_s * WINDOW_MS / 1000, 1):
            return False
        self._started.note(now_ms)
        return True


def missing_model(engine: Engine, peers: Iterable[Engine]) -> str | None:
    """The model that an idle engine should load: the one that fewest others hold."""
    if engine.models or engine.loading_model or not engine.synced:
        return None
    holders = [{*peer.models, peer.loading_model} for peer in peers]
    fitting = [m.name for m in engine.spec.models if m.weights_mb <= engine.spec.weights_mb]
    return min(fitting, key=lambda name: sum(name in held for held in holders), default=None)
