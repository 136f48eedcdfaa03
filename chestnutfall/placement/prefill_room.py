"""Whether an engine has time for the prefill of one more prompt."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PrefillRoom:
    """Room in an engine's queue of prompts.

    Attributes
    ----------
    in_time : bool
        Whether a request that can be in time may queue.
    late : bool
        Whether a request that will be late may queue; it must not delay the others.
    """

    in_time: bool
    late: bool

    def admits(self, in_time: bool) -> bool:
        """Whether one more prompt may queue, of a request that can be in time or of a late one."""
        return self.in_time if in_time else self.late


ANY_PREFILL_ROOM = PrefillRoom(True, True)
