"""One seeded run: an office under load and faults, and the checks of what was observed."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine, Iterator
from pathlib import Path
from typing import Any

from chestnutfall.platform.standin.client import ClientResult, StandInClient
from chestnutfall.platform.standin.operator import StandInOperator

from .configuration_changes import ConfigurationChanges
from .connection_episodes import ConnectionEpisodes
from .cut_episodes import CutEpisodes
from .endless_episodes import EndlessEpisodes
from .fatal_requests import FatalRequests
from .fault_injector import FaultInjector
from .fault_plan import plan_faults
from .flood_episodes import FloodEpisodes
from .leave_episodes import LeaveEpisodes
from .limit_episodes import LimitEpisodes
from .malformed_episodes import MalformedEpisodes
from .office import Office
from .organisation_load import OrganisationLoad
from .part_episodes import PartEpisodes
from .power_loss import PowerLoss
from .recovery_checks import ROUTES, RecoveryChecks
from .rejection_episodes import RejectionEpisodes
from .request_checks import check_answers, check_ends
from .request_end import RequestEnd, of_attempt, of_client, of_connecting
from .rush_episodes import RushEpisodes
from .signal_episodes import SignalEpisodes
from .silence_episodes import SilenceEpisodes
from .stream_episodes import BUILDS, StreamEpisodes
from .verdict import Verdict

CLIENTS = 6
CALM_CLIENTS = 30
LATE_RUN_S = 2.0
"""Time in which requests that were answered "not run" may still start, before runs are counted."""


class SoakRun:
    """Plays one seed and checks the guarantees by what clients, operators and upstreams observe.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    length_s : float
        Time under faults.
    folder : Path
        Empty folder for the data and logs of the daemons.
    """

    def __init__(self, seed: int, length_s: float, folder: Path) -> None:
        self._rng = random.Random(seed)
        # These parts have their own generators, since draws from `_rng` would change what the seeds
        # in `REGRESSIONS` play.
        self._fatal_rng = random.Random(f"fatal {seed}")
        self._organisations_rng = random.Random(f"organisations {seed}")
        self._limits_rng = random.Random(f"limits {seed}")
        self._signals_rng = random.Random(f"words {seed}")
        self._floods_rng = random.Random(f"floods {seed}")
        self._connections_rng = random.Random(f"connections {seed}")
        self._cuts_rng = random.Random(f"cuts {seed}")
        self._pairs_rng = random.Random(f"pairs {seed}")
        self._rejections_rng = random.Random(f"rejections {seed}")
        self._streams_rng = random.Random(f"streams {seed}")
        self._parts_rng = random.Random(f"parts {seed}")
        self._rushes_rng = random.Random(f"rushes {seed}")
        self._silences_rng = random.Random(f"silences {seed}")
        self._changes_rng = random.Random(f"changes {seed}")
        self._power_rng = random.Random(f"power {seed}")
        self._leaves_rng = random.Random(f"leaves {seed}")
        self._endless_rng = random.Random(f"endless {seed}")
        self._malformed_rng = random.Random(f"malformed {seed}")
        self._folder = folder
        self._length_s = length_s
        self._office = Office(folder, self._rng, is_whole=True)
        self._disturbances = self._office.disturbances
        self._limits = LimitEpisodes(self._office)
        self._connections = ConnectionEpisodes(self._office, self._disturbances)
        self._silences = SilenceEpisodes(self._office, self._disturbances)
        self._power = PowerLoss(self._office, self._disturbances)
        self._rejections = RejectionEpisodes(self._office)
        self._streams = StreamEpisodes(self._office)
        self._parts = PartEpisodes(self._office)
        self._rushes = RushEpisodes(self._office, self._disturbances)
        self._cuts = CutEpisodes(self._office, self._disturbances)
        self._signals = SignalEpisodes(self._office, self._disturbances)
        self._floods = FloodEpisodes(self._office, self._disturbances)
        self._leaves = LeaveEpisodes(self._office, self._disturbances)
        self._endless = EndlessEpisodes(self._office, self._disturbances)
        self._malformed = MalformedEpisodes(self._office, self._disturbances)
        self._seen: list[ClientResult] = []
        self.verdict = Verdict()

    async def run(self) -> Verdict:
        """Play the seed, check the guarantees and return the result; call it once."""
        client = StandInClient(self._rng)
        self._operator = StandInOperator(self._office.control_addresses, self._rng)
        self._changes = ConfigurationChanges(self._office, self._operator, self.verdict)
        try:
            await self._office.start(BUILDS)
            await self._wait_until_in_force()
            await self._wait_until_served(client)
            await self._run_under_faults(client)
            await self._check_recovery(client)
        finally:
            await client.close()
            await self._operator.close()
            await self._office.stop()
        check_answers(self._office, self._seen, self.verdict)
        check_ends(self._office, self._ends(), self.verdict)
        organisations = OrganisationLoad(self._office, client)
        organisations.check_quota(self._office.run_registry, self.verdict)
        organisations.check_logs(self._folder, self.verdict)
        self._limits.check(self._office.run_registry, self.verdict)
        self._signals.check(self.verdict)
        self._floods.check(self.verdict)
        self._connections.check(self.verdict)
        self._rejections.check(self.verdict)
        self._streams.check(self.verdict)
        self._rushes.check(self.verdict)
        self._silences.check(self.verdict)
        self._changes.check(self.verdict)
        self._leaves.check(self.verdict)
        self._endless.check(self.verdict)
        self._malformed.check(self.verdict)
        return self.verdict

    async def _wait_until_in_force(self) -> None:
        for _ in range(100):
            if await self._changes.put_first():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the first document was not acknowledged within 10 s")

    async def _wait_until_served(self, client: StandInClient) -> None:
        for gateway in self._office.gateways:
            for route in ROUTES:
                for _ in range(100):
                    seen = await client.send(self._office.client_address(gateway), route)
                    if seen.status == 200:
                        break
                    await asyncio.sleep(0.1)
                else:
                    raise RuntimeError(f"{gateway.plan.name} did not serve {route} in time")

    async def _run_under_faults(self, client: StandInClient) -> None:
        injector = FaultInjector(self._office, self._disturbances)
        self._streams.begin()
        load = [asyncio.ensure_future(one) for one in self._load(client)]
        injected = []
        now_s = 0.0
        for fault in plan_faults(self._rng, self._length_s):
            await asyncio.sleep(fault.at_s - now_s)
            now_s = fault.at_s
            self.verdict.counts[f"fault {fault.kind}"] += 1
            injected.append(asyncio.ensure_future(injector.inject(fault)))
        await asyncio.gather(*injected)
        await self._end(load)
        self.verdict.note_violation(
            injector.unfinished_drains > 0, f"{injector.unfinished_drains} drains took too long"
        )

    def _load(self, client: StandInClient) -> Iterator[Coroutine[Any, Any, None]]:
        """Yield what goes on beside the planned faults."""
        for _ in range(CLIENTS):
            yield self._send_load(client)
        yield self._changes.play_until_cancelled(self._changes_rng)
        yield self._changes.send_until_cancelled(self._changes_rng, self._seen)
        yield FatalRequests(self._office, client).send_until_cancelled(self._fatal_rng, self._seen)
        yield OrganisationLoad(self._office, client).send_until_cancelled(
            self._organisations_rng, self._seen
        )
        yield self._limits.play_until_cancelled(self._limits_rng)
        yield self._floods.play_until_cancelled(client, self._floods_rng, self._seen)
        yield self._signals.play_until_cancelled(self._signals_rng)
        yield self._connections.play_until_cancelled(self._connections_rng)
        yield self._cuts.play_until_cancelled(self._cuts_rng, self._pairs_rng)
        yield self._rejections.play_until_cancelled(self._rejections_rng)
        yield self._streams.play_until_cancelled(self._streams_rng)
        yield self._parts.play_until_cancelled(self._parts_rng)
        yield self._rushes.play_until_cancelled(self._rushes_rng)
        yield self._silences.play_until_cancelled(self._silences_rng)
        yield self._leaves.play_until_cancelled(self._leaves_rng)
        yield self._endless.play_until_cancelled(self._endless_rng)
        yield self._malformed.play_until_cancelled(self._malformed_rng)

    async def _end(self, load: list[asyncio.Task[None]]) -> None:
        """End what goes on; note what has ended by itself, since it plays nothing any more."""
        for task in load:
            task.cancel()
        for ended in await asyncio.gather(*load, return_exceptions=True):
            by_itself = not isinstance(ended, asyncio.CancelledError)
            self.verdict.note_violation(by_itself, f"a part of the soak ended: {ended!r}")

    async def _send_load(self, client: StandInClient) -> None:
        while True:
            gateway = self._office.client_address(self._rng.choice(self._office.gateways))
            seen = await client.send(gateway, self._rng.choice(ROUTES))
            self._seen.append(seen)
            self.verdict.counts[f"status {seen.status}{'' if seen.complete else ' cut'}"] += 1
            await asyncio.sleep(self._rng.uniform(0.0, 0.05))

    def _check_processes(self) -> None:
        for daemon in (*self._office.controllers, *self._office.gateways):
            daemon.note_own_end()
            self.verdict.note_violation(
                bool(daemon.own_ends), f"{daemon.plan.name} ended by itself: {daemon.own_ends}"
            )

    async def _check_recovery(self, client: StandInClient) -> None:
        self._check_processes()
        checks = RecoveryChecks(self._office, client, self.verdict)
        await self._check_kept(checks, "after the faults")
        await self._floods.play_episode(client, self._floods_rng, self._seen, is_calm=True)
        await self._cuts.check_calm(client, self._cuts_rng, self._seen, self.verdict)
        await self._cuts.check_calm_pairs(client, self._pairs_rng, self._seen, self.verdict)
        await self._streams.check_calm(self._streams_rng, self.verdict)
        await self._check_silence(client)
        await self._check_endless(client)
        await self._leaves.check_calm(self._leaves_rng, self.verdict)
        await self._parts.check_calm(self._parts_rng, self.verdict)
        await self._rushes.check_calm(self._rushes_rng, self.verdict)
        await checks.check_quarantine(self._seen)
        await self._lose_power(client, checks)
        await asyncio.sleep(LATE_RUN_S)

    async def _check_silence(self, client: StandInClient) -> None:
        """Let most upstreams of a service be silent beside changes, under no fault."""
        load = [asyncio.ensure_future(self._send_load(client)) for _ in range(CALM_CLIENTS)]
        for one in (
            self._changes.play_until_cancelled(self._changes_rng),
            self._changes.send_until_cancelled(self._changes_rng, self._seen),
            self._streams.play_until_cancelled(self._streams_rng),
        ):
            load.append(asyncio.ensure_future(one))
        await self._silences.play_calm(self._silences_rng)
        await self._end(load)

    async def _check_endless(self, client: StandInClient) -> None:
        """Let upstreams write without end beside usual load, under no fault."""
        load = [asyncio.ensure_future(self._send_load(client)) for _ in range(CALM_CLIENTS)]
        await self._endless.play_calm(self._endless_rng, self.verdict)
        await self._end(load)

    async def _lose_power(self, client: StandInClient, checks: RecoveryChecks) -> None:
        load = [asyncio.ensure_future(self._send_load(client)) for _ in range(CLIENTS)]
        await self._power.play_under_changes(
            self._power_rng, self._changes, lambda moment: self._check_kept(checks, moment)
        )
        await self._end(load)
        self._check_processes()
        self.verdict.counts["losses of all power"] = self._power.losses

    async def _check_kept(self, checks: RecoveryChecks, moment: str) -> None:
        await checks.check_document(self._operator, self._changes.acknowledged, moment)
        await checks.check_served(moment)
        await checks.check_revoked_key(self._changes.acknowledged)

    def _ends(self) -> Iterator[RequestEnd]:
        yield from map(of_client, self._seen)
        yield from map(of_attempt, self._streams.attempts())
        yield from map(of_connecting, self._rushes.attempts)
