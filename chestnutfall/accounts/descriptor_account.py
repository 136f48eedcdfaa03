"""The descriptors that a process has open for its peers."""

from __future__ import annotations

from collections.abc import Callable

FILES = 200
"""Descriptors that hosts keep for files, of those that a process may open."""
OWN = 64
"""Descriptors of the process itself: listening sockets, other processes of the system, logs."""
CLIENT_SHARE = 0.75
"""Part of the rest that connections of clients may take; each request needs one to an upstream."""
FREED_SHARE = 1 / 64
"""Part that is freed at once, so that the search for idle connections is rare."""


class DescriptorAccount:
    """Counts open connections, and leaves some to those that requests in progress need.

    A process without descriptors accepts nobody, can't reach upstreams or its leader, and may not
    even write its log.

    Parameters
    ----------
    max_fds : int
        Descriptors that the process may have open.

    Attributes
    ----------
    clients, calls : int
        Open connections of clients, and requests in progress, each with one to an upstream.
    idle : callable
        Returns the number of open connections to upstreams that no request has.
    """

    def __init__(self, max_fds: int) -> None:
        self._usable = max(max_fds - FILES - OWN, 2)
        self.max_clients = max(int(self._usable * CLIENT_SHARE), 1)
        self.clients = 0
        self.calls = 0
        self.idle: Callable[[], int] = lambda: 0

    def has_room_for_client(self, opening: int = 0) -> bool:
        """Whether one more client may connect, beside so many whose connection is being opened."""
        clients = self.clients + opening
        return clients < self.max_clients and clients + self.calls + self.idle() < self._usable

    def has_room_for_call(self) -> bool:
        """Whether one more request may be sent to an upstream."""
        return self.clients + self.calls + self.idle() < self._usable

    @property
    def freed_at_once(self) -> int:
        """Number of idle connections to close when there is no room."""
        return max(int(self._usable * FREED_SHARE), 1)
