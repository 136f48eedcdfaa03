"""A replicated log without replicas."""

from __future__ import annotations

from typing import Any

from ...control.control_state import ControlState


class AppliedLog:
    """A log that applies each command at once, as that of a group whose members are all up."""

    def __init__(self, state: ControlState) -> None:
        self._state = state
        self._index = 0

    async def propose(self, data: bytes) -> Any:
        """Apply a command."""
        self._index += 1
        return self._state.apply(self._index, data)
