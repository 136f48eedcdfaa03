"""The one account of a process."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from ..clock import Clock
from ..settings.host_limits import HostLimits
from .account_full import AccountFull
from .account_size import capacity_bytes, resident_bytes
from .descriptor_account import DescriptorAccount
from .memory_account import MemoryAccount
from .peers import Peers
from .reading_turns import ReadingTurns

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ProcessAccount:
    """What the servers and clients of a process draw from.

    Attributes
    ----------
    memory : MemoryAccount
        Memory that is held for peers.
    descriptors : DescriptorAccount
        Open connections.
    turns : ReadingTurns
        Processor time for reading long requests.
    peers : Peers
        Open connections of clients.
    """

    memory: MemoryAccount
    descriptors: DescriptorAccount
    turns: ReadingTurns = field(default_factory=ReadingTurns)
    peers: Peers = field(default_factory=Peers)

    @contextmanager
    def call(self) -> Iterator[None]:
        """Count a request that is sent to an upstream while the context lasts.

        Raises
        ------
        AccountFull
            When there is no descriptor for its connection.
        """
        if not self.descriptors.has_room_for_call():
            self.close_idle_clients()
        if not self.descriptors.has_room_for_call():
            raise AccountFull("no descriptor for one more connection")
        self.descriptors.calls += 1
        try:
            yield
        finally:
            self.descriptors.calls -= 1

    def close_idle_clients(self) -> None:
        """Let those give their connections up that have waited longest with no whole request."""
        longest = self.memory.yielding()[: self.descriptors.freed_at_once]
        for one in longest:
            self.memory.make_one_give_way(one)


def open_account(limits: HostLimits, clock: Clock, count: Callable[[str], None]) -> ProcessAccount:
    """Return the account of this process, which has loaded its program and serves nobody yet.

    Parameters
    ----------
    count : callable
        Counts events, by name.
    """
    resting = resident_bytes()
    capacity = capacity_bytes(limits.memory_mb, resting)
    descriptors = DescriptorAccount(limits.max_fds)
    log.info(
        "memory: account capacity=%d resting=%d memory_mb=%d clients=%d max_fds=%d",
        capacity,
        resting,
        limits.memory_mb,
        descriptors.max_clients,
        limits.max_fds,
    )
    return ProcessAccount(MemoryAccount(capacity, clock, count), descriptors)
