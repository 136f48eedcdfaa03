"""Attempts of one request, over all its rounds."""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_ATTEMPTS = 4
"""Attempts of a request that are sent, those beside a silent one included."""


@dataclass(slots=True, eq=False)
class RequestTries:
    """What a request has tried. A round is an attempt, and those begun beside it.

    Attributes
    ----------
    rounds : int
        Rounds that have begun.
    left : int
        Attempts that may still be sent.
    failed : set of str
        Names of engines at which an attempt failed.
    """

    rounds: int = 0
    left: int = MAX_ATTEMPTS
    failed: set[str] = field(default_factory=set)

    def begin_round(self) -> None:
        """Count the first attempt of a round."""
        self.rounds += 1
        self.left -= 1
