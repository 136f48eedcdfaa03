"""One entry of the replicated log."""

from __future__ import annotations

from dataclasses import dataclass

from .member import Member


@dataclass(frozen=True, slots=True)
class Entry:
    """A command, a membership change, or (with neither) the no-op that opens a term.

    Attributes
    ----------
    index, term : int
        Position in the log, from 1, and the term of the leader that created it.
    data : bytes
        Encoded command of the state machine; empty when there is none.
    members : tuple of Member or None
        The whole new membership; None when it doesn't change.
    """

    index: int
    term: int
    data: bytes = b""
    members: tuple[Member, ...] | None = None
