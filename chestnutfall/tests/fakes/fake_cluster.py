"""A cluster of real replicas on fake disks and a fake network."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from ...clock import ManualClock
from ...consensus import Member, Replica, StateMachine, Timing
from ...consensus.file_storage import FileStorage
from ...consensus.role import Role
from .fake_folder import FakeFolder
from .fake_network import FakeNetwork
from .node_clock import NodeClock
from .recorder import Recorder

SNAPSHOT_EVERY_ENTRIES = 8
KEEP_ENTRIES = 3


class FakeCluster:
    """Replicas by name, which can be crashed, isolated, frozen and restarted.

    All of them share one manual clock, which the test advances.
    """

    def __init__(
        self,
        seed: int,
        names: tuple[str, ...] = ("a", "b", "c"),
        machine: Callable[[], StateMachine] = Recorder,
    ) -> None:
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.network = FakeNetwork(self.clock, self.rng)
        self.names = list(names)
        self.replicas: dict[str, Replica] = {}
        self.clocks: dict[str, NodeClock] = {}
        self.folders: dict[str, FakeFolder] = {}
        self._machine = machine

    async def bootstrap(self) -> None:
        """Initialise the folder of every replica and start it."""
        members = tuple(Member(name, name) for name in self.names)
        for name in self.names:
            self.folders[name] = FakeFolder(self.clock, self.rng)
            storing = asyncio.ensure_future(FileStorage(self.folders[name]).bootstrap(members))
            await self.clock.advance(50)
            await storing
            self.start(name)

    def add_blank(self, name: str) -> None:
        """Start a replica with an empty disk that is not a member yet."""
        self.folders[name] = FakeFolder(self.clock, self.rng)
        self.names.append(name)
        self.start(name)

    def start(self, name: str, process_start_ms: int | None = None) -> None:
        """Start a replica on the present content of its folder."""
        clock = NodeClock(self.clock)
        replica = Replica(
            name,
            FileStorage(self.folders[name]),
            self._machine(),
            self.network.transport(name, clock),
            clock,
            random.Random(self.rng.random()),
            Timing(),
            SNAPSHOT_EVERY_ENTRIES,
            KEEP_ENTRIES,
        )
        replica.start(process_start_ms)
        self.replicas[name] = replica
        self.clocks[name] = clock
        self.network.connect(name, replica.handle, clock)

    async def crash(self, name: str) -> None:
        """Kill a replica and lose the data that its disk had not synced."""
        replica = self.replicas.pop(name, None)
        if replica is not None:
            self.network.disconnect(name)
            self.folders[name].crash()
            await replica.stop()

    def isolate(self, name: str) -> None:
        """Cut the links between a replica and all others in both directions."""
        for other in self.names:
            if other != name:
                self.network.cuts |= {(name, other), (other, name)}

    async def restore_all(self) -> None:
        """End all faults and start all replicas that are not running."""
        self.network.cuts.clear()
        for name in self.names:
            self.folders[name].fail_with = None
            if name in self.replicas and self.replicas[name].failed.done():
                await self.crash(name)
            if name not in self.replicas:
                self.start(name)
            self.clocks[name].thaw()

    def leaders(self) -> list[Replica]:
        """Return the replicas in the leader role, with or without a valid lease."""
        return [one for one in self.replicas.values() if one.role is Role.LEADER]

    def active_leaders(self) -> list[str]:
        """Return the names of the replicas that are active leaders now and not frozen."""
        return [
            name
            for name, one in self.replicas.items()
            if one.is_active_leader() and self.clocks[name]._running.is_set()
        ]

    async def leader(self, within_ms: int = 10_000) -> Replica:
        """Advance the clock until there is an active leader, and return it."""
        for _ in range(within_ms // 50):
            if found := self.active_leaders():
                return self.replicas[found[0]]
            await self.clock.advance(50)
        raise AssertionError(f"no leader within {within_ms} ms")

    async def propose(self, replica: Replica, command: str) -> bool:
        """Propose `command`, wait up to 1 s and return whether it was acknowledged."""
        return await self.propose_bytes(replica, command.encode())

    async def propose_bytes(self, replica: Replica, data: bytes) -> bool:
        """Propose an encoded command, as `propose` does."""
        task = asyncio.ensure_future(replica.propose(data))
        for _ in range(40):
            await self.clock.advance(25)
            if task.done():
                return task.exception() is None
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return False

    async def stop(self) -> None:
        """Stop all replicas and cancel all messages in transit."""
        for name in list(self.replicas):
            await self.crash(name)
        others = [t for t in asyncio.all_tasks() if t is not asyncio.current_task()]
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
