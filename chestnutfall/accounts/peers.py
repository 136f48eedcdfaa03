"""The connections that a process looks at from time to time."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable

LOOK_MS = 1_000
"""Time between two looks; short beside how long a peer may wait."""


class Peer(ABC):
    """A connection whose other end may stop without a sign."""

    __slots__ = ()

    @abstractmethod
    def look(self) -> None:
        """See whether the other end still brings or takes something."""


class Peers:
    """Looks at all open connections with one timer.

    Parameters
    ----------
    call_later : callable
        Calls a function after a time in seconds.
    """

    def __init__(
        self, call_later: Callable[[float, Callable[[], None]], object] | None = None
    ) -> None:
        self._call_later = _in_a_while if call_later is None else call_later
        self._open: set[Peer] = set()
        self._is_scheduled = False

    def __len__(self) -> int:
        return len(self._open)

    def add(self, peer: Peer) -> None:
        """Look at a connection until it is discarded."""
        self._open.add(peer)
        if not self._is_scheduled:
            self._is_scheduled = True
            self._call_later(LOOK_MS / 1000, self._look)

    def discard(self, peer: Peer) -> None:
        """Look at a connection no more; it has ended."""
        self._open.discard(peer)

    def _look(self) -> None:
        for peer in tuple(self._open):
            peer.look()
        self._is_scheduled = bool(self._open)
        if self._is_scheduled:
            self._call_later(LOOK_MS / 1000, self._look)


def _in_a_while(delay_s: float, work: Callable[[], None]) -> object:
    return asyncio.get_running_loop().call_later(delay_s, work)
