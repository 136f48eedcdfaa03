"""Which base model an engine should load, and when it may."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from .engine import Engine

WINDOW_MS = 5_000
"""The weight store's rate is kept in every window of this length."""


class ModelLoads:
    """Loads from the weight store over all engines, under its rate."""

    def __init__(self) -> None:
        self._started_ms: deque[int] = deque()

    def may_start(self, per_s: float, now_ms: int) -> bool:
        """Whether one more load keeps the rate; counts it if so."""
        while self._started_ms and self._started_ms[0] <= now_ms - WINDOW_MS:
            self._started_ms.popleft()
        if len(self._started_ms) >= max(per_s * WINDOW_MS / 1000, 1):
            return False
        self._started_ms.append(now_ms)
        return True


def missing_model(engine: Engine, peers: Iterable[Engine]) -> str | None:
    """The model that an idle engine should load: the one that fewest others hold."""
    if engine.models or engine.loading_model or not engine.synced:
        return None
    holders = [{*peer.models, peer.loading_model} for peer in peers]
    fitting = [m.name for m in engine.spec.models if m.weights_mb <= engine.spec.weights_mb]
    return min(fitting, key=lambda name: sum(name in held for held in holders), default=None)
