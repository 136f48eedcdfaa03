"""Memory of what is received and can't be passed on before it is whole."""

from __future__ import annotations

from types import TracebackType

FREE_BYTES = 128 * 1024
"""What each may hold whatever the others do; usual answers and requests are smaller."""
MAX_BYTES = 12 * 1024 * 1024
"""A twentieth of the memory of a small host."""


class BuffersFull(Exception):
    """What is received exceeds what this process may hold."""


class BufferBudget:
    """Bounds what all buffers of one kind hold together.

    A limit for each alone doesn't: an upstream in trouble may write without end to all calls at
    once. The largest buffer gives way first, so that a sound answer is not lost for those that
    never end.

    Parameters
    ----------
    max_bytes : int
        What all may hold until the largest may not grow; at twice as much, none may.
    """

    def __init__(self, max_bytes: int = MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self._held: dict[Buffer, int] = {}

    @property
    def held_bytes(self) -> int:
        """What is held beyond the free part of each buffer."""
        return sum(self._held.values())

    def resize(self, buffer: Buffer, size: int) -> None:
        """Note the size of a buffer.

        Raises
        ------
        BuffersFull
            When it may not be as large.
        """
        if size <= FREE_BYTES:
            self._held.pop(buffer, None)
            return
        self._held[buffer] = size - FREE_BYTES
        held_bytes = self.held_bytes
        is_largest = size - FREE_BYTES >= max(self._held.values())
        if held_bytes > 2 * self._max_bytes or (held_bytes > self._max_bytes and is_largest):
            raise BuffersFull(f"{size} bytes, and {held_bytes} in all buffers")


class Buffer:
    """The part of a budget that one answer or request takes while its context lasts."""

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget

    def resize(self, size: int) -> None:
        """Note how many bytes are held.

        Raises
        ------
        BuffersFull
            When that is too much.
        """
        self._budget.resize(self, size)

    def __enter__(self) -> Buffer:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._budget.resize(self, 0)
