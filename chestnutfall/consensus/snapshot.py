"""Snapshot of the state machine at one log index."""

from __future__ import annotations

from dataclasses import dataclass

from .member import Member


@dataclass(frozen=True, slots=True)
class Snapshot:
    """State after entry `index`, which replaces all log entries up to it.

    Attributes
    ----------
    index, term : int
        Index and term of the last entry included; 0 for the initial state.
    members : tuple of Member
        Membership as of that entry.
    data : bytes
        State as returned by `StateMachine.dump`; empty for the initial state.
    """

    index: int = 0
    term: int = 0
    members: tuple[Member, ...] = ()
    data: bytes = b""
