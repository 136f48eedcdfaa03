"""The state machine's state at one index."""

from __future__ import annotations

from dataclasses import dataclass

from .member import Member


@dataclass(frozen=True, slots=True)
class Snapshot:
    """State after entry `index`, which stands for all entries up to it."""

    index: int = 0
    term: int = 0
    members: tuple[Member, ...] = ()
    data: bytes = b""
