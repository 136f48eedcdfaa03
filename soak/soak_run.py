"""One seeded run: an office under load and faults, and the checks of what was observed."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

from chestnutfall.platform.standin.client import ClientResult, StandInClient
from chestnutfall.platform.standin.operator import StandInOperator
from chestnutfall.platform.standin.tenants import LEAVES_AT_VERSION

from .connection_episodes import ConnectionEpisodes
from .cut_episodes import CutEpisodes
from .disturbances import Disturbances
from .fatal_requests import CONTENTS, MAX_LATER_ENDS, FatalRequests, NotServed
from .fault_injector import FaultInjector
from .fault_plan import plan_faults
from .flood_episodes import FloodEpisodes
from .limit_episodes import LimitEpisodes
from .office import Office
from .organisation_load import OrganisationLoad
from .part_episodes import PartEpisodes
from .rejection_episodes import RejectionEpisodes
from .rush_episodes import RushEpisodes
from .signal_episodes import SignalEpisodes
from .stream_episodes import BUILDS, StreamEpisodes
from .verdict import Verdict

CLIENTS = 6
ROUTES = ("once", "again", "draft", "long")
NON_IDEMPOTENT_ROUTES = ("once", "draft")
FATAL_ROUNDS = 4
"""Fatal requests of each route to each gateway after the quarantine has begun.

Without a quarantine each of them would crash two upstreams.
"""
RECOVERY_S = 8.0
"""Time in which the office must serve again after the last fault."""
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
        self._folder = folder
        self._length_s = length_s
        self._office = Office(folder, self._rng)
        self._limits = LimitEpisodes(self._office)
        self._connections = ConnectionEpisodes(self._office)
        self._rejections = RejectionEpisodes(self._office)
        self._streams = StreamEpisodes(self._office)
        self._parts = PartEpisodes(self._office)
        self._disturbances = Disturbances()
        self._rushes = RushEpisodes(self._office, self._disturbances)
        self._cuts = CutEpisodes(self._office, self._disturbances)
        self._signals = SignalEpisodes(self._office, self._disturbances)
        self._floods = FloodEpisodes(self._office, self._disturbances)
        self._seen: list[ClientResult] = []
        # Latest version of the document whose storage was acknowledged.
        self._acknowledged = 0
        self.verdict = Verdict()

    async def run(self) -> Verdict:
        """Play the seed, check the guarantees and return the result; call it once."""
        operator = StandInOperator(self._office.control_addresses, self._rng)
        client = StandInClient(self._rng)
        try:
            await self._office.start(BUILDS)
            await self._wait_until_in_force(operator)
            await self._wait_until_served(client)
            await self._run_under_faults(operator, client)
            await self._check_recovery(operator, client)
        finally:
            await client.close()
            await operator.close()
            await self._office.stop()
        self._check_requests()
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
        return self.verdict

    async def _wait_until_in_force(self, operator: StandInOperator) -> None:
        for _ in range(100):
            if await operator.put(1):
                self._acknowledged = 1
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

    async def _run_under_faults(self, operator: StandInOperator, client: StandInClient) -> None:
        injector = FaultInjector(self._office, self._disturbances)
        load = [asyncio.ensure_future(self._send_load(client)) for _ in range(CLIENTS)]
        load.append(asyncio.ensure_future(self._change_configuration(operator)))
        fatal = FatalRequests(self._office, client)
        load.append(asyncio.ensure_future(fatal.send_until_cancelled(self._fatal_rng, self._seen)))
        organisation_load = OrganisationLoad(self._office, client).send_until_cancelled(
            self._organisations_rng, self._seen
        )
        load.append(asyncio.ensure_future(organisation_load))
        load.append(asyncio.ensure_future(self._limits.play_until_cancelled(self._limits_rng)))
        floods = self._floods.play_until_cancelled(client, self._floods_rng, self._seen)
        load.append(asyncio.ensure_future(floods))
        load.append(asyncio.ensure_future(self._signals.play_until_cancelled(self._signals_rng)))
        connections = self._connections.play_until_cancelled(self._connections_rng)
        load.append(asyncio.ensure_future(connections))
        cuts = self._cuts.play_until_cancelled(self._cuts_rng, self._pairs_rng)
        load.append(asyncio.ensure_future(cuts))
        rejections = self._rejections.play_until_cancelled(self._rejections_rng)
        load.append(asyncio.ensure_future(rejections))
        self._streams.begin()
        load.append(asyncio.ensure_future(self._streams.play_until_cancelled(self._streams_rng)))
        load.append(asyncio.ensure_future(self._parts.play_until_cancelled(self._parts_rng)))
        load.append(asyncio.ensure_future(self._rushes.play_until_cancelled(self._rushes_rng)))
        injected = []
        now_s = 0.0
        for fault in plan_faults(self._rng, self._length_s):
            await asyncio.sleep(fault.at_s - now_s)
            now_s = fault.at_s
            self.verdict.counts[f"fault {fault.kind}"] += 1
            injected.append(asyncio.ensure_future(injector.inject(fault)))
        await asyncio.gather(*injected)
        for task in load:
            task.cancel()
        await asyncio.gather(*load, return_exceptions=True)
        self.verdict.note_violation(
            injector.unfinished_drains > 0, f"{injector.unfinished_drains} drains took too long"
        )

    async def _send_load(self, client: StandInClient) -> None:
        while True:
            gateway = self._office.client_address(self._rng.choice(self._office.gateways))
            seen = await client.send(gateway, self._rng.choice(ROUTES))
            self._seen.append(seen)
            self.verdict.counts[f"status {seen.status}{'' if seen.complete else ' cut'}"] += 1
            await asyncio.sleep(self._rng.uniform(0.0, 0.05))

    async def _change_configuration(self, operator: StandInOperator) -> None:
        version = 1
        while True:
            version += self._rng.randrange(1, 4)
            if await operator.put(version):
                self._acknowledged = version
            floor = self._acknowledged
            read = await operator.read()
            is_stale = read is not None and read < floor
            self.verdict.note_violation(
                is_stale, f"read version {read} after {floor} was acknowledged"
            )
            await asyncio.sleep(0.15)

    def _check_processes(self) -> None:
        for daemon in (*self._office.controllers, *self._office.gateways):
            daemon.note_own_end()
            self.verdict.note_violation(
                bool(daemon.own_ends), f"{daemon.plan.name} ended by itself: {daemon.own_ends}"
            )

    async def _check_recovery(self, operator: StandInOperator, client: StandInClient) -> None:
        self._check_processes()
        read = None
        for _ in range(int(RECOVERY_S * 10)):
            read = await operator.read()
            if read is not None:
                break
            await asyncio.sleep(0.1)
        lost = read is None or read < self._acknowledged
        self.verdict.note_violation(
            lost, f"at the end: read {read}, acknowledged {self._acknowledged}"
        )
        for gateway in self._office.gateways:
            unserved = await self._unserved(client, self._office.client_address(gateway))
            self.verdict.note_violation(
                bool(unserved), f"{gateway.plan.name} does not serve after the faults: {unserved}"
            )
        await self._floods.play_episode(client, self._floods_rng, self._seen, is_calm=True)
        await self._cuts.check_calm(client, self._cuts_rng, self._seen, self.verdict)
        await self._cuts.check_calm_pairs(client, self._pairs_rng, self._seen, self.verdict)
        await self._streams.check_calm(self._streams_rng, self.verdict)
        await self._parts.check_calm(self._parts_rng, self.verdict)
        await self._rushes.check_calm(self._rushes_rng, self.verdict)
        await self._check_revoked_key(client)
        await self._check_quarantine(FatalRequests(self._office, client))
        await asyncio.sleep(LATE_RUN_S)

    async def _check_revoked_key(self, client: StandInClient) -> None:
        if self._acknowledged >= LEAVES_AT_VERSION:
            await OrganisationLoad(self._office, client).check_revoked_key(self.verdict)

    async def _check_quarantine(self, fatal: FatalRequests) -> None:
        """Note fatal requests that gateways keep sending; called when no fault is injected."""
        for route in CONTENTS:
            try:
                ends = await fatal.send_until_quarantined(route)
                for _ in range(FATAL_ROUNDS):
                    self._seen += await fatal.send_to_each_gateway(route)
            except NotServed as exc:
                self.verdict.note_violation(True, f"beside fatal requests: {exc}")
                continue
            self.verdict.counts[f"ended by {route}"] = fatal.ends(route)
            more = fatal.ends(route) - ends
            self.verdict.note_violation(
                more > MAX_LATER_ENDS, f"{route}: {more} upstreams more ended"
            )

    async def _unserved(self, client: StandInClient, gateway: str) -> str:
        """Return what a gateway last answered on routes that it does not serve in time."""
        unserved = ""
        for _ in range(int(RECOVERY_S * 5)):
            seen = [await client.send(gateway, route) for route in ROUTES]
            failed = [f"{one.route} {one.status} {one.reason}" for one in seen if one.status != 200]
            unserved = ", ".join(failed)
            if not unserved:
                break
            await asyncio.sleep(0.2)
        return unserved

    def _check_requests(self) -> None:
        run_registry = self._office.run_registry
        for finding in run_registry.violations:
            self.verdict.note_violation(True, finding)
        for seen in self._seen:
            runs = run_registry.runs[seen.request_id]
            what = f"{seen.route} {seen.request_id} status {seen.status}, {runs} runs"
            self.verdict.note_violation(not seen.correct, f"wrong bytes: {what}")
            runs_once = seen.route in NON_IDEMPOTENT_ROUTES
            self.verdict.note_violation(runs_once and runs > 1, f"ran more than once: {what}")
            self.verdict.note_violation(seen.says_not_run and runs > 0, f"called not run: {what}")
            forwarded = run_registry.organisations.get(seen.request_id, seen.organisation)
            self.verdict.note_violation(
                forwarded != seen.organisation, f"told as one of {forwarded}: {what}"
            )
        answered = sum(seen.status == 200 and seen.complete for seen in self._seen)
        self.verdict.counts["answered"] = answered
        self.verdict.note_violation(answered == 0, "nothing was answered")
