"""Whether an engine has time to read one more prompt."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReadingRoom:
    """Room in an engine's queue of prompts.

    Attributes
    ----------
    in_time, late : bool
        For a request that can be in time, and for one that will be late, which must not hold up
        the others.
    """

    in_time: bool
    late: bool

    def takes(self, in_time: bool) -> bool:
        """Whether one more prompt of that kind may queue."""
        return self.in_time if in_time else self.late
