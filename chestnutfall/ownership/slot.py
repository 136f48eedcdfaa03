"""One adapter slot of an engine."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Slot:
    """An adapter on an engine, with the tickets that pin it.

    Attributes
    ----------
    ready : bool
        Whether the adapter is loaded.
    used_ms : int
        Clock time of its last grant, or at which it was added.
    draining : bool
        Whether it accepts no new tickets, so that it can be evicted once its pins are gone.
    evicting : bool
        Whether a load was started that will replace it.
    pins : dict of str to str
        Session of the entry gateway by attempt id.
    inherited_until_ms : int
        Clock time until which requests may still arrive on tickets of an earlier owner.
    """

    adapter: str
    ready: bool
    used_ms: int
    inherited_until_ms: int = 0
    draining: bool = False
    evicting: bool = False
    pins: dict[str, str] = field(default_factory=dict)

    @property
    def takes_work(self) -> bool:
        """Whether a new ticket may pin it."""
        return self.ready and not self.draining and not self.evicting

    def is_evictable(self, now_ms: int) -> bool:
        """Whether no known ticket pins it, and none of an earlier owner may still be used."""
        return (
            self.ready and not self.evicting and not self.pins and now_ms >= self.inherited_until_ms
        )
