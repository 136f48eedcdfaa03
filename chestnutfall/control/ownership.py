"""Ownership of an engine by a gateway."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Ownership:
    """The gateway that may give orders to an engine.

    Attributes
    ----------
    engine : str
        Name of the engine.
    owner : str
        Session of the owning gateway.
    epoch : int
        Fencing token of the owner's orders: the log index of the assignment, so it grows with each
        assignment.
    """

    engine: str
    owner: str
    epoch: int
