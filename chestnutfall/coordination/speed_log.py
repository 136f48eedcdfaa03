"""Log lines about engines that are slower than others of their service."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from ..clock import Clock
from ..placement.engine import Engine

log = logging.getLogger(__name__)
LASTS_MS = 2_000
"""An engine is logged when it is slow for this long, so that a few late answers log nothing."""
MAX_LINES = 8
"""Lines each time; when a whole data centre turns slow, the rest is counted."""


class SpeedLog:
    """Logs which engines are slower than their service, since when, and when they no longer are."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._since_ms: dict[str, int] = {}

    def update(self, engines: Iterable[Engine]) -> None:
        """Log what changed since the last call."""
        now_ms = self._clock.now_ms()
        seen: dict[str, int] = {}
        lines: list[str] = []
        for engine in engines:
            name, since_ms = engine.instance, engine.speed.slow_since_ms
            if since_ms is not None and now_ms - since_ms >= LASTS_MS:
                seen[name] = self._since_ms.get(name, since_ms)
                if name not in self._since_ms:
                    usual = engine.speed.usual
                    lines.append(
                        f"instance={name} takes={usual:.2f} times as long since_ms={since_ms}"
                    )
            elif name in self._since_ms:
                lines.append(f"instance={name} as usual after ms={now_ms - self._since_ms[name]}")
        self._since_ms = seen
        for line in lines[:MAX_LINES]:
            log.info("speed: %s", line)
        if len(lines) > MAX_LINES:
            log.info("speed: %d more engines changed", len(lines) - MAX_LINES)
