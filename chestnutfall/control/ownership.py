"""Who decides for an engine."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Ownership:
    """One engine's owner.

    Attributes
    ----------
    owner : str
        Session of the owning gateway.
    epoch : int
        Fencing number of its orders; grows with every new owner of any engine.
    """

    engine: str
    owner: str
    epoch: int
