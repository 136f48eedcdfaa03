"""Who reads on when many long requests arrive at once."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

UNITS_PER_TURN = 1_000
"""Work of parsing long requests in one turn of the event loop: some five milliseconds."""
BYTES_PER_UNIT = 3_072
"""Bytes of a body in one piece whose parsing takes as long as one of its lines."""


class ReadingTurns:
    """Limits how much of long requests one turn of the event loop parses.

    Bodies in very small chunks take ten thousand times the processor time of whole ones. While a
    crowd sent them, each turn parsed what had come on all connections, and ordinary requests waited
    for seconds. The rest waits for its turn here, the first that came first; the beginning of a
    request never waits.

    Parameters
    ----------
    call_soon : callable
        Calls a function in the next turn of the event loop.
    """

    def __init__(self, call_soon: Callable[[Callable[[], None]], object] | None = None) -> None:
        self._call_soon = _in_next_turn if call_soon is None else call_soon
        self._left = UNITS_PER_TURN
        self._waiting: deque[Callable[[], None]] = deque()
        self._is_scheduled = False

    def __len__(self) -> int:
        return len(self._waiting)

    def has_time(self) -> bool:
        """Whether this turn may parse more of a long request."""
        return self._left > 0

    def spend(self, data: bytes) -> None:
        """Note that a part of a long request was parsed."""
        self._left -= data.count(b"\n") + len(data) // BYTES_PER_UNIT + 1
        self._schedule()

    def wait(self, read_on: Callable[[], None]) -> None:
        """Call `read_on` in a turn that has time."""
        self._waiting.append(read_on)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        self._is_scheduled = False
        self._left = UNITS_PER_TURN
        # Those that are put back in this turn wait for the next one.
        for _ in range(len(self._waiting)):
            if self._left <= 0:
                break
            self._waiting.popleft()()
        if self._waiting:
            self._schedule()


def _in_next_turn(work: Callable[[], None]) -> object:
    return asyncio.get_running_loop().call_soon(work)
