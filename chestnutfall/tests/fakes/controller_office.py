"""Controllers on fake disks and a fake network, from their first start on."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from ...clock import ManualClock
from ...consensus import (
    Busy,
    LeadershipLost,
    Member,
    NotLeader,
    Replica,
    StorageFailed,
    Timing,
    Tolerance,
)
from ...consensus.file_storage import FileStorage
from ...control.commands import PutDocument, encode_command
from ...control.control_state import ControlState
from ...coordination.group_joiner import GroupJoiner
from ...coordination.group_manager import GroupManager
from ...coordination.leader_relay import LeaderRelay
from ...coordination.relay_messages import Accepted, Unavailable
from ...settings.host_place import HostPlace
from .fake_folder import FakeFolder
from .fake_network import FakeNetwork
from .node_clock import NodeClock

TIMING = Timing(heartbeat_ms=60, election_min_ms=320, election_max_ms=560, call_timeout_ms=250)
SNAPSHOT_EVERY = (16, 1_000_000)
KEEP_ENTRIES = 8
STEP_MS = 50


@dataclass(slots=True)
class Process:
    """What runs on one host."""

    replica: Replica
    state: ControlState
    group: GroupManager
    tasks: list[asyncio.Future[None]]


@dataclass(slots=True)
class Host:
    """One machine with a disk, at an address that it keeps.

    Attributes
    ----------
    identity : str
        Identity on its disk; empty when the disk is empty.
    """

    name: str
    place: HostPlace
    folder: FakeFolder
    identity: str = ""
    disks_lost: int = 0
    process: Process | None = None
    clock: NodeClock | None = field(default=None)


class _DirectRelay(LeaderRelay):
    """Takes a controller's request to join to the host that it asks."""

    def __init__(self, hosts: dict[str, Host], own: str, cuts: set[tuple[str, str]]) -> None:
        self._hosts = hosts
        self._own = own
        self._cuts = cuts

    async def ask_at(self, address: str, msg: Any) -> Any:
        process, clock = self._hosts[address].process, self._hosts[address].clock
        is_cut = (self._own, address) in self._cuts or (address, self._own) in self._cuts
        if process is None or clock is None or not clock.is_running or is_cut:
            return Unavailable()
        if not process.replica.is_active_leader():
            return Unavailable(process.replica.leader_address())
        process.group.register_joiner(msg)
        return Accepted()


class ControllerOffice:
    """Hosts by name, which start together, die, lose their disks and come back.

    Parameters
    ----------
    places : dict of str to str
        Data centre by host; the hosts named first are those in everybody's settings.
    first : int
        Number of hosts in the settings.
    snapshot_every : tuple of int
        Entries, and bytes of them, between two snapshots.

    Attributes
    ----------
    acknowledged : int
        Newest version of a document that was acknowledged; -1 if none was.
    """

    def __init__(
        self,
        seed: int,
        places: dict[str, str],
        tolerance: Tolerance,
        first: int = 3,
        snapshot_every: tuple[int, int] = SNAPSHOT_EVERY,
    ) -> None:
        self._snapshot_every = snapshot_every
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.network = FakeNetwork(self.clock, self.rng)
        self.tolerance = tolerance
        self.hosts = {
            name: Host(name, HostPlace(place, "region"), FakeFolder(self.clock, self.rng))
            for name, place in places.items()
        }
        self.first = tuple(places)[:first]
        self.acknowledged = -1
        self.sent = 0

    async def first_start(self, names: Iterable[str] = ()) -> None:
        """Start the system for the first time, on these hosts or on all."""
        for name in names or self.hosts:
            await self.start(name, first_start=True)

    async def start(self, name: str, first_start: bool = False) -> None:
        """Start the process of a host on what its disk holds."""
        host = self.hosts[name]
        if host.process is not None:
            return
        storage = FileStorage(host.folder)
        if not host.identity:
            await self._write_identity(host, storage, first_start)
        host.clock = clock = NodeClock(self.clock)
        state = ControlState()
        replica = Replica(
            host.identity,
            storage,
            state,
            self.network.transport(name, clock),
            clock,
            random.Random(self.rng.random()),
            TIMING,
            self._snapshot_every[0],
            KEEP_ENTRIES,
            self.tolerance,
            self._snapshot_every[1],
        )
        replica.start()
        self.network.connect(name, replica.handle, clock)
        group = GroupManager(replica, state, clock, self.tolerance, host.place)
        joiner = GroupJoiner(
            replica,
            _DirectRelay(self.hosts, name, self.network.cuts),
            clock,
            name,
            self.first,
            host.place,
            self.tolerance,
        )
        tasks = [asyncio.ensure_future(one.run()) for one in (group, joiner)]
        host.process = Process(replica, state, group, tasks)

    async def _write_identity(self, host: Host, storage: FileStorage, first_start: bool) -> None:
        members: tuple[Member, ...] = ()
        host.identity = f"{host.name}-{host.disks_lost}"
        if first_start and host.name in self.first:
            host.identity = f"founder-{host.name}"
            members = tuple(Member(f"founder-{name}", name) for name in self.first)
        storing = asyncio.ensure_future(storage.bootstrap(members))
        await self.clock.advance(20)
        await storing

    async def kill(self, *names: str, wipe: bool = False) -> None:
        """Kill the processes of hosts; with `wipe`, their disks are lost too."""
        for name in names:
            host = self.hosts[name]
            process, host.process = host.process, None
            if process is not None:
                self.network.disconnect(name)
                host.folder.crash()
                for task in process.tasks:
                    task.cancel()
                await asyncio.gather(*process.tasks, return_exceptions=True)
                await process.replica.stop()
            if wipe:
                host.folder = FakeFolder(self.clock, self.rng)
                host.identity = ""
                host.disks_lost += 1

    def freeze(self, *names: str) -> None:
        """Stop the processes of hosts where they are, until `thaw`."""
        for name in names:
            clock = self.hosts[name].clock
            if clock is not None:
                clock.freeze()

    def thaw(self, *names: str) -> None:
        """Let frozen processes go on."""
        for name in names:
            clock = self.hosts[name].clock
            if clock is not None:
                clock.thaw()

    def split(self, names: Iterable[str]) -> None:
        """Cut these hosts off from all others, in both directions, until `join`."""
        apart = set(names)
        for one in apart:
            for other in self.hosts.keys() - apart:
                self.network.cuts |= {(one, other), (other, one)}

    def join(self) -> None:
        """End all cuts."""
        self.network.cuts.clear()

    def leaders(self) -> list[Process]:
        """Return the processes that lead now, and are not frozen."""
        running = [
            one.process
            for one in self.hosts.values()
            if one.process is not None and one.clock is not None and one.clock.is_running
        ]
        return [one for one in running if one.replica.is_active_leader()]

    async def pass_ms(self, ms: int) -> None:
        """Advance the time, and check that no two controllers lead at once."""
        for _ in range(ms // STEP_MS):
            await self.clock.advance(STEP_MS)
            leaders = [one.replica.replica_id for one in self.leaders()]
            assert len(leaders) < 2, f"{leaders} lead at {self.clock.now_ms()} ms"

    async def leader(self, within_ms: int = 15_000) -> Process:
        """Advance the time until a controller leads, and return it."""
        for _ in range(within_ms // STEP_MS):
            if leaders := self.leaders():
                return leaders[0]
            await self.pass_ms(STEP_MS)
        raise AssertionError(f"no controller leads within {within_ms} ms")

    async def acknowledge(self, within_ms: int = 20_000, size_bytes: int = 4) -> bool:
        """Send the next document until it is acknowledged, as an operator does."""
        self.sent += 1
        until_ms = self.clock.now_ms() + within_ms
        while self.clock.now_ms() < until_ms:
            leaders = [one for one in self.leaders() if one.state.group_complete]
            if not leaders:
                await self.pass_ms(STEP_MS)
            elif await self._propose(leaders[0].replica, self.sent, size_bytes):
                self.acknowledged = self.sent
                return True
        return False

    async def _propose(self, replica: Replica, version: int, size_bytes: int) -> bool:
        content = version.to_bytes(size_bytes, "big")
        proposed = asyncio.ensure_future(
            replica.propose(encode_command(PutDocument(version, content)))
        )
        for _ in range(20):
            await self.pass_ms(STEP_MS)
            if proposed.done():
                break
        proposed.cancel()
        try:
            await proposed
        except (asyncio.CancelledError, NotLeader, Busy, LeadershipLost, StorageFailed):
            return False
        return True

    async def stop(self) -> None:
        """Kill all processes, and cancel what is in transit."""
        await self.kill(*self.hosts)
        others = [one for one in asyncio.all_tasks() if one is not asyncio.current_task()]
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
