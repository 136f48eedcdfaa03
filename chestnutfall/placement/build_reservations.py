"""Places for streams that can go on only at the engines of one build."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from ..clock import SlidingWindow
from .engine import Engine
from .queue import Queue

WINDOW_MS = 2_000
"""About the time that a client leaves its stream alone before it gives up."""
MAX_SHARE = 0.25
"""Largest part of an engine's batch that is reserved."""


class BuildReservations:
    """Keeps new streams off the last engines of a build, as long as others have room.

    A new stream can begin at any engine of its service, one that goes on only at engines of the
    build that began it. When these are few, new streams fill them while other engines are idle. A
    reserved place costs more than one elsewhere, and is still used when all others are taken.
    """

    def __init__(self) -> None:
        self._resumed: dict[Queue, SlidingWindow] = {}
        self._has_reserved = False

    def note_submitted(self, queue: Queue, now_ms: int) -> None:
        """Count a stream that goes on."""
        self._resumed.setdefault(queue, SlidingWindow(WINDOW_MS)).note(now_ms)

    def apply(self, engines: Iterable[Engine], now_ms: int) -> None:
        """Set the reserved places of all engines: those that streams needed lately, spread."""
        if not self._resumed and not self._has_reserved:
            return
        wanted = {queue: window.count(now_ms) for queue, window in self._resumed.items()}
        self._resumed = {queue: self._resumed[queue] for queue, count in wanted.items() if count}
        self._has_reserved = bool(self._resumed)
        engines = list(engines)
        sizes = Counter(Queue(one.service, one.build_key) for one in engines)
        for engine in engines:
            queue = Queue(engine.service, engine.build_key)
            share = -(-wanted.get(queue, 0) // sizes[queue])
            engine.reserved = min(share, int(MAX_SHARE * engine.spec.batch))
