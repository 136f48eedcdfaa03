"""Life cycle of one controller: its replica, and its services for gateways and upstreams."""

from __future__ import annotations

import asyncio
import logging
import random
from pathlib import Path
from typing import Any

from ..accounts import MemoryAccount
from ..clock import Clock
from ..clock.process_start import PROCESS_START_MS
from ..consensus import Member, Replica, Timing, Tolerance
from ..consensus.disk_folder import DiskFolder
from ..consensus.disk_identity import assign_new_identity, bootstrap_founder, read_identity
from ..consensus.file_storage import FileStorage
from ..consensus.frame import CorruptFile
from ..consensus.messages import CONSENSUS_CODEC
from ..control.control_state import ControlState
from ..control.rpc_transport import METHOD as CONSENSUS_METHOD
from ..control.rpc_transport import RpcTransport
from ..observability.prometheus_metrics import PrometheusMetrics
from ..routes import DocumentCodec
from ..settings.fleet_settings import FleetSettings
from ..settings.host_limits import HostLimits
from ..wire import RpcServer
from .engine_control import EngineControl
from .fleet_leader import FleetLeader
from .group_joiner import GroupJoiner
from .group_manager import GroupManager
from .leader_relay import METHOD as RELAY_METHOD
from .leader_relay import LeaderRelay
from .messages import FLEET_CODEC, FLEET_METHOD
from .relay_messages import RELAY_CODEC, Unavailable
from .session_server import SessionServer
from .task_watch import TaskWatch

log = logging.getLogger(__name__)
RESTART_DELAY_MS = 400
"""A full or failing disk stays so for seconds; reading it again twice a second is often enough."""
TIMING = Timing(heartbeat_ms=60, election_min_ms=320, election_max_ms=560, call_timeout_ms=250)
"""Controllers are some ms apart and use less than a tenth of a core, so five missed heartbeats
indicate a failed leader. Requests for adapters that no gateway remembers wait that long for the
next leader."""
SNAPSHOT_EVERY_ENTRIES = 500
KEEP_ENTRIES = 200
"""With documents of about 30 KB each, 700 entries stay below 25 MB of memory and disk."""
LOG_DISK_SHARE = 8
LOG_MEMORY_SHARE = 16
"""Parts of the host's disk, and of the process's memory, that entries between two snapshots take at
most. On the disk the old log and the new one stand side by side for a moment; in memory half as
many bytes stay before a snapshot."""
MIB = 1024 * 1024


class CurrentRelay:
    """Forwards calls to the relay of the replica that runs now.

    Attributes
    ----------
    present : LeaderRelay or None
        Relay of the running replica; None while storage is read.
    """

    def __init__(self) -> None:
        self.present: LeaderRelay | None = None

    async def ask(self, msg: Any) -> Any:
        """Forward `msg`; the answer is `Unavailable` while no replica runs."""
        if self.present is None:
            return Unavailable()
        return await self.present.ask(msg)


class ControllerRunner:
    """Runs a replica on the host's disk, and restarts it after storage failures.

    Parameters
    ----------
    memory : MemoryAccount
        What the requests of gateways draw from.

    Attributes
    ----------
    relay : CurrentRelay
        Entry point for calls from outside.
    """

    def __init__(
        self,
        settings: FleetSettings,
        codec: DocumentCodec,
        engines: EngineControl,
        clock: Clock,
        metrics: PrometheusMetrics,
        memory: MemoryAccount,
    ) -> None:
        self._settings = settings
        self._codec = codec
        self._engines = engines
        self._clock = clock
        self._metrics = metrics
        self._memory = memory
        self._replica: Replica | None = None
        self._leader: FleetLeader | None = None
        self._joiner: GroupJoiner | None = None
        self._process_start_ms: int | None = PROCESS_START_MS
        self.relay = CurrentRelay()

    def use_settings(self, settings: FleetSettings) -> None:
        """Use changed settings from the next restart of the replica on.

        Only the addresses in `controllers` apply at once, to the requests of the joiner.
        """
        self._settings = settings
        if self._joiner is not None:
            self._joiner.first_addresses = settings.controllers

    def refresh_gauges(self) -> None:
        """Update the metrics of the replica and of the message traffic."""
        if self._replica is None:
            return
        self._metrics.gauge("leads", self._replica.is_active_leader())
        self._metrics.gauge("term", self._replica.term)
        self._metrics.gauge("commit_index", self._replica.commit_index)
        members = self._replica.members
        self._metrics.gauge("members", len(members))
        self._metrics.gauge("voters", sum(member.voter for member in members))
        self._metrics.gauge("losses_borne", self._replica.quorum().is_sufficient)
        self._metrics.gauge("disks_lost", len(self._replica.lost))
        term = self._leader.leading() if self._leader is not None else None
        self._metrics.gauge("engines_slow", term.slow_engines if term is not None else 0)
        self._metrics.gauge("engines_slowed_now", term.slowed_engines if term is not None else 0)
        self._metrics.gauge("gateways_cut_off", term.cut_off_gateways if term is not None else 0)
        self._metrics.gauge("links_cut", term.cut_links if term is not None else 0)
        for codec in (FLEET_CODEC, RELAY_CODEC, CONSENSUS_CODEC):
            for name, value in codec.traffic.counters():
                self._metrics.total(name, value)

    async def run(self, stop: asyncio.Event) -> None:
        """Run the replica until `stop` is set."""
        while not stop.is_set():
            try:
                await self._run_once(stop)
            except (CorruptFile, OSError) as exc:
                log.error("storage: %s", exc)
            except Exception:
                # The process would go on without a replica, and nothing would start it again.
                log.exception("replica: interrupted by an unexpected error")
            if not stop.is_set():
                await self._clock.sleep_ms(RESTART_DELAY_MS)

    async def _run_once(self, stop: asyncio.Event) -> None:
        folder = DiskFolder(Path(self._settings.data_folder))
        try:
            storage = FileStorage(folder)
            replica_id = await self._identity(folder, storage)
            await self._serve(replica_id, storage, stop)
        finally:
            folder.close()

    async def _identity(self, folder: DiskFolder, storage: FileStorage) -> str:
        """Return the replica identity stored on this disk; an empty disk gets a new one."""
        if storage.is_empty:
            await self._begin(folder, storage)
        return read_identity(folder)

    async def _begin(self, folder: DiskFolder, storage: FileStorage) -> None:
        own = self._settings.peer_address
        founders = tuple(Member(_founder_id(one), one) for one in self._settings.controllers)
        if self._settings.first_start and any(one.address == own for one in founders):
            # All founders know the same first addresses, so each can write the same first
            # membership without communicating.
            await bootstrap_founder(folder, storage, _founder_id(own), founders)
            log.info("group: founded with %s", [one.address for one in founders])
        else:
            fresh = await assign_new_identity(folder, storage, self._settings.name)
            log.info("group: empty disk, joining as %s", fresh)

    async def _serve(self, replica_id: str, storage: FileStorage, stop: asyncio.Event) -> None:
        settings, clock = self._settings, self._clock
        tolerance = _tolerance(settings)
        state = ControlState()
        transport = RpcTransport(None)
        replica = Replica(
            replica_id,
            storage,
            state,
            transport,
            clock,
            random.Random(),
            TIMING,
            SNAPSHOT_EVERY_ENTRIES,
            KEEP_ENTRIES,
            tolerance,
            _snapshot_every_bytes(settings.limits),
        )
        replica.start(self._process_start_ms)
        self._process_start_ms = None
        leader = FleetLeader(
            replica,
            state,
            self._codec,
            self._engines,
            clock,
            settings.heartbeat_ms,
            settings.repeats,
            settings.quotas,
            self._memory,
        )
        place = settings.place
        group = GroupManager(replica, state, clock, tolerance, place)
        relay = LeaderRelay(replica, state, leader, group, clock)
        joiner = GroupJoiner(
            replica,
            relay,
            clock,
            settings.peer_address,
            settings.controllers,
            place,
            tolerance,
        )
        server = _server(settings.peer_address, replica, leader, relay, clock)
        await server.start()
        log.info("replica: started id=%s index=%d", replica_id, replica.log.last_index)
        tasks = TaskWatch()
        for name, work in (
            ("leader", leader),
            ("group", group),
            ("joiner", joiner),
            ("heartbeats", relay.heartbeats),
        ):
            tasks.start(name, work.run())
        self._replica, self._joiner, self.relay.present = replica, joiner, relay
        self._leader = leader
        try:
            await _first_of(stop, replica.failed, tasks.ended)
            if not replica.failed.done():
                await replica.transfer_leadership()
        finally:
            self._replica = self._leader = self._joiner = self.relay.present = None
            await tasks.stop()
            await server.stop(200)
            await replica.stop()
            await relay.close()
            await transport.close()
        if replica.failed.done():
            log.error("replica: failed id=%s: %r", replica_id, replica.failed.result())


def _tolerance(settings: FleetSettings) -> Tolerance:
    return Tolerance(
        settings.tolerated_losses, settings.tolerated_data_centres, settings.tolerated_regions
    )


def _snapshot_every_bytes(limits: HostLimits) -> int:
    by_memory = limits.memory_mb * MIB // LOG_MEMORY_SHARE
    by_disk = limits.disk_mb * MIB // LOG_DISK_SHARE
    return min(by_memory, by_disk) if by_disk else by_memory


def _founder_id(address: str) -> str:
    return f"founder-{address}"


def _server(
    address: str, replica: Replica, leader: FleetLeader, relay: LeaderRelay, clock: Clock
) -> RpcServer:
    server = RpcServer(address)

    async def on_consensus(msg: Any, context: Any) -> Any:
        return await replica.handle(msg)

    async def on_relay(msg: Any, context: Any) -> Any:
        return await relay.answer(msg)

    server.add_unary(CONSENSUS_METHOD, CONSENSUS_CODEC, on_consensus)
    server.add_unary(RELAY_METHOD, RELAY_CODEC, on_relay)
    server.add_stream(FLEET_METHOD, FLEET_CODEC, SessionServer(replica, leader, clock).serve)
    return server


async def _first_of(stop: asyncio.Event, *ends: asyncio.Future[Any]) -> None:
    either = asyncio.Event()
    for end in ends:
        end.add_done_callback(lambda _: either.set())
    stopping = asyncio.ensure_future(_pass_on(stop, either))
    try:
        await either.wait()
    finally:
        stopping.cancel()


async def _pass_on(event: asyncio.Event, other: asyncio.Event) -> None:
    await event.wait()
    other.set()
