"""Backoffs in force at the engines of one decision round."""

from __future__ import annotations

from collections.abc import Iterable

from .engine import Engine
from .place_request import PlaceRequest


class ActiveBackoffs:
    """Backoffs of the engines that asked some or all gateways to send nothing for a while.

    Usually no engine backs off, and then each method returns without a lookup.
    """

    def __init__(self, engines: Iterable[Engine], now_ms: int) -> None:
        self._now_ms = now_ms
        self._active = {
            one.instance: one.backoff for one in engines if one.backoff.is_active(now_ms)
        }

    def __bool__(self) -> bool:
        return bool(self._active)

    def may_send(self, req: PlaceRequest, engine: Engine) -> bool:
        """Whether the request's gateway may send to the engine now."""
        if not self._active:
            return True
        backoff = self._active.get(engine.instance)
        return backoff is None or not backoff.wait_ms(req.gateway, self._now_ms)

    def probably_rejects(self, engine: Engine) -> bool:
        """Whether the engine would probably reject a request of any gateway."""
        if not self._active:
            return False
        backoff = self._active.get(engine.instance)
        return backoff is not None and backoff.probably_rejects(self._now_ms)

    def unavailable_ms(self, req: PlaceRequest, engines: Iterable[Engine]) -> float:
        """Time until the first of `engines` accepts requests of this gateway; 0 without engines."""
        gateway = req.gateway
        times_ms = (one.backoff.unavailable_ms(gateway, self._now_ms) for one in engines)
        return min(times_ms, default=0.0)
