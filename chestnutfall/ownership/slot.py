"""One adapter slot of an engine."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Slot:
    """An adapter on an engine, with the tickets that pin it.

    Attributes
    ----------
    ready : bool
        Whether it is loaded.
    closing : bool
        Whether it takes no new work, to be evicted when it is free.
    leaving : bool
        Whether a load was started that will replace it.
    pins : dict of str to str
        Session of the entry gateway by attempt id.
    inherited_until_ms : int
        Until then tickets of an earlier owner may still be dispatched.
    """

    adapter: str
    ready: bool
    used_ms: int
    inherited_until_ms: int = 0
    closing: bool = False
    leaving: bool = False
    pins: dict[str, str] = field(default_factory=dict)

    @property
    def takes_work(self) -> bool:
        """Whether a new ticket may pin it."""
        return self.ready and not self.closing and not self.leaving

    def is_evictable(self, now_ms: int) -> bool:
        """Whether nothing that we know of runs or may run on it."""
        return (
            self.ready and not self.leaving and not self.pins and now_ms >= self.inherited_until_ms
        )
