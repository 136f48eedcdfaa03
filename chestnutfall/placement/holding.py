"""An adapter that an engine holds or loads."""

from __future__ import annotations

from dataclasses import dataclass, field

UNSURE_MS = 500
"""How much longer than expected a load may take; more than half of a usual load."""


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
        Whether the engine accepted the order to load it; until then nothing can run on it, however
        long the order waits behind others.
    confirmed : bool
        Whether a request ran on it, or the engine reported it.
    expected_ms : float
        How long its load was expected to take; 0 when it was held before.
    from_copy : bool
        Whether `expected_ms` assumes a copy in the engine's own memory.
    ordered_ms : int
        Clock time at which the engine accepted the order.
    was_early : bool
        Whether a request was sent before the load had ended.
    tickets : set of str
        Requests that run on it or wait for it; it is not evicted while there are any.
    """

    version: int
    ready_ms: int
    ordered: bool = True
    confirmed: bool = False
    expected_ms: float = 0.0
    from_copy: bool = False
    ordered_ms: int = 0
    was_early: bool = False
    tickets: set[str] = field(default_factory=set)

    def is_idle(self, now_ms: int) -> bool:
        """Whether no request runs on it or waits for it, and it has certainly been loaded.

        A load may take longer than expected. An unload or replacement of an adapter that is not
        loaded yet has no effect, and the load ordered in its place would exceed the engine's slots.
        """
        sure_ms = self.ready_ms + (0 if self.confirmed else UNSURE_MS)
        return not self.tickets and self.ordered and sure_ms <= now_ms

    def is_ready(self, now_ms: int) -> bool:
        """Whether requests may run on it."""
        return self.ordered and self.ready_ms <= now_ms
