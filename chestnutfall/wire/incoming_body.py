"""A body that is being read."""

from __future__ import annotations

MERGED_BYTES = 4 * 1024
"""Parts are joined until they have this length: a part of few bytes takes ten times as many."""


class IncomingBody:
    """Keeps the parts of a body until it is whole.

    A buffer that grows is moved each time. Among hundreds of them, the allocator finds no use for
    what each leaves behind, and the process holds half as much again.
    """

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def append(self, data: bytes) -> None:
        """Add what has come."""
        self._size += len(data)
        if self._parts and len(self._parts[-1]) < MERGED_BYTES:
            self._parts[-1] += data
        else:
            self._parts.append(data)

    def clear(self) -> None:
        """Drop all that has come."""
        self._parts.clear()
        self._size = 0

    def whole(self) -> bytes:
        """Return all that has come."""
        return b"".join(self._parts)
