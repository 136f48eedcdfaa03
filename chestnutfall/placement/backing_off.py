"""Engines of one round that want no requests of some gateways, or of all."""

from __future__ import annotations

from collections.abc import Iterable

from .engine import Engine
from .place_request import PlaceRequest


class BackingOff:
    """What placement asks of them; nearly always there are none, and nothing is looked up."""

    def __init__(self, engines: Iterable[Engine], now_ms: int) -> None:
        self._now_ms = now_ms
        self._active = {
            one.instance: one.backoff for one in engines if one.backoff.is_active(now_ms)
        }

    def __bool__(self) -> bool:
        return bool(self._active)

    def may_send(self, req: PlaceRequest, engine: Engine) -> bool:
        """Whether the engine wants requests of this one's gateway."""
        if not self._active:
            return True
        backoff = self._active.get(engine.instance)
        return backoff is None or not backoff.wait_ms(req.gateway, self._now_ms)

    def is_doubtful(self, engine: Engine) -> bool:
        """Whether the engine would probably turn a request away."""
        if not self._active:
            return False
        backoff = self._active.get(engine.instance)
        return backoff is not None and backoff.is_doubtful(self._now_ms)

    def back_ms(self, req: PlaceRequest, engines: Iterable[Engine]) -> float:
        """Time until the first of some engines wants requests of this one's gateway."""
        gateway = req.gateway
        times_ms = (one.backoff.back_ms(gateway, self._now_ms) for one in engines)
        return min(times_ms, default=0.0)
