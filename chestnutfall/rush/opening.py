"""A new connection of a caller whose first call has no answer yet."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class Opening:
    """What is known of such a connection.

    Attributes
    ----------
    accepted_ms : int
        When it was taken from the queue of the listening socket.
    arrived_ms : int or None
        When the first bytes of its first call came; None before.
    is_unfinished : bool
        Whether it has not come whole.
    """

    accepted_ms: int
    arrived_ms: int | None = None
    is_unfinished: bool = False
