"""An adapter on an engine, or on its way there."""

from __future__ import annotations

from dataclasses import dataclass, field

UNSURE_MS = 500
"""How much longer than expected a load may take; more than half of a usual one."""


@dataclass(slots=True)
class Holding:
    """One adapter of one engine.

    Attributes
    ----------
    version : int
        Version held or being loaded; 0 when only "the newest" is known.
    ready_ms : int
        Clock time at which it should be ready.
    ordered : bool
        Whether the engine took the order for it; until then nothing can run on it, however long
        the order waits behind others.
    confirmed : bool
        Whether a request ran on it, or the engine listed it.
    expected_ms : float
        How long its load was expected to take; 0 when it was there before.
    from_memory : bool
        Whether that expects a copy in the engine's own memory.
    ordered_ms : int
        When the engine took the order.
    was_early : bool
        Whether a request came before the load had ended.
    tickets : set of str
        Requests that run on it or wait for it; it is not evicted while there are any.
    """

    version: int
    ready_ms: int
    ordered: bool = True
    confirmed: bool = False
    expected_ms: float = 0.0
    from_memory: bool = False
    ordered_ms: int = 0
    was_early: bool = False
    tickets: set[str] = field(default_factory=set)

    def is_idle(self, now_ms: int) -> bool:
        """Whether nothing runs on it or waits for it, and it is certainly there.

        A load may take longer than expected. An order to drop or replace an adapter that has not
        arrived does nothing, and the one that comes in its place would then be one too many.
        """
        sure_ms = self.ready_ms + (0 if self.confirmed else UNSURE_MS)
        return not self.tickets and self.ordered and sure_ms <= now_ms

    def is_ready(self, now_ms: int) -> bool:
        """Whether requests may run on it."""
        return self.ordered and self.ready_ms <= now_ms
