"""One seeded run: an office, load, faults, and the judgement."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

from chestnutfall.platform.standin.client import ClientResult, StandInClient
from chestnutfall.platform.standin.operator import StandInOperator
from chestnutfall.platform.standin.tenants import LEAVES_AT_VERSION

from .disturbances import Disturbances
from .fatal_requests import CONTENTS, LATER_ENDS, FatalRequests, NotServed
from .fault_plan import plan_faults
from .faults import Faults
from .named_limits import NamedLimits
from .office import Office
from .organisations import Organisations
from .spoken_words import SpokenWords
from .verdict import Verdict

CLIENTS = 6
ROUTES = ("once", "again", "draft", "long")
ONCE_ROUTES = ("once", "draft")
FATAL_ROUNDS = 4
"""Tries at each gateway; each would end two upstreams."""
RECOVERY_S = 8.0
LATE_S = 2.0
"""Time in which a request that was called not run could still run, if the promise were false."""


class SoakRun:
    """Plays one seed and checks the promises from what clients and upstreams see."""

    def __init__(self, seed: int, length_s: float, folder: Path) -> None:
        self._rng = random.Random(seed)
        # Of their own, so that seeds which failed before these requests came play as they did.
        self._fatal_rng = random.Random(f"fatal {seed}")
        self._organisations_rng = random.Random(f"organisations {seed}")
        self._limits_rng = random.Random(f"limits {seed}")
        self._words_rng = random.Random(f"words {seed}")
        self._folder = folder
        self._length_s = length_s
        self._office = Office(folder, self._rng)
        self._limits = NamedLimits(self._office)
        self._disturbances = Disturbances()
        self._words = SpokenWords(self._office, self._disturbances)
        self._seen: list[ClientResult] = []
        self._acknowledged = 0
        self.verdict = Verdict()

    async def run(self) -> Verdict:
        """Play and judge."""
        operator = StandInOperator(self._office.control_addresses, self._rng)
        client = StandInClient(self._rng)
        try:
            await self._office.start()
            await self._until_in_force(operator)
            await self._until_served(client)
            await self._under_faults(operator, client)
            await self._after_faults(operator, client)
        finally:
            await client.close()
            await operator.close()
            await self._office.stop()
        self._judge()
        organisations = Organisations(self._office, client)
        organisations.judge_quota(self._office.book, self.verdict)
        organisations.judge_logs(self._folder, self.verdict)
        self._limits.judge(self._office.book, self.verdict)
        self._words.judge(self.verdict)
        return self.verdict

    async def _until_in_force(self, operator: StandInOperator) -> None:
        for _ in range(100):
            if await operator.put(1):
                self._acknowledged = 1
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the first document was not acknowledged within 10 s")

    async def _until_served(self, client: StandInClient) -> None:
        for gateway in self._office.gateways:
            for route in ROUTES:
                for _ in range(100):
                    seen = await client.send(self._office.front(gateway), route)
                    if seen.status == 200:
                        break
                    await asyncio.sleep(0.1)
                else:
                    raise RuntimeError(f"{gateway.plan.name} did not serve {route} in time")

    async def _under_faults(self, operator: StandInOperator, client: StandInClient) -> None:
        faults = Faults(self._office, self._disturbances)
        load = [asyncio.ensure_future(self._load(client)) for _ in range(CLIENTS)]
        load.append(asyncio.ensure_future(self._operate(operator)))
        fatal = FatalRequests(self._office, client)
        load.append(asyncio.ensure_future(fatal.now_and_then(self._fatal_rng, self._seen)))
        asking = Organisations(self._office, client).keep_asking(
            self._organisations_rng, self._seen
        )
        load.append(asyncio.ensure_future(asking))
        load.append(asyncio.ensure_future(self._limits.now_and_then(self._limits_rng)))
        load.append(asyncio.ensure_future(self._words.now_and_then(self._words_rng)))
        played = []
        now_s = 0.0
        for fault in plan_faults(self._rng, self._length_s):
            await asyncio.sleep(fault.at_s - now_s)
            now_s = fault.at_s
            self.verdict.counts[f"fault {fault.kind}"] += 1
            played.append(asyncio.ensure_future(faults.play(fault)))
        await asyncio.gather(*played)
        for task in load:
            task.cancel()
        await asyncio.gather(*load, return_exceptions=True)
        self.verdict.note(
            faults.unfinished_drains > 0, f"{faults.unfinished_drains} drains took too long"
        )

    async def _load(self, client: StandInClient) -> None:
        while True:
            gateway = self._office.front(self._rng.choice(self._office.gateways))
            seen = await client.send(gateway, self._rng.choice(ROUTES))
            self._seen.append(seen)
            self.verdict.counts[f"status {seen.status}{'' if seen.complete else ' cut'}"] += 1
            await asyncio.sleep(self._rng.uniform(0.0, 0.05))

    async def _operate(self, operator: StandInOperator) -> None:
        version = 1
        while True:
            version += self._rng.randrange(1, 4)
            if await operator.put(version):
                self._acknowledged = version
            floor = self._acknowledged
            read = await operator.read()
            older = read is not None and read < floor
            self.verdict.note(older, f"read version {read} after {floor} was acknowledged")
            await asyncio.sleep(0.15)

    async def _after_faults(self, operator: StandInOperator, client: StandInClient) -> None:
        read = None
        for _ in range(int(RECOVERY_S * 10)):
            read = await operator.read()
            if read is not None:
                break
            await asyncio.sleep(0.1)
        lost = read is None or read < self._acknowledged
        self.verdict.note(lost, f"at the end: read {read}, acknowledged {self._acknowledged}")
        for gateway in self._office.gateways:
            served = await self._is_served(client, self._office.front(gateway))
            self.verdict.note(not served, f"{gateway.plan.name} does not serve after the faults")
        await self._judge_key(client)
        await self._judge_fatal(FatalRequests(self._office, client))
        await asyncio.sleep(LATE_S)

    async def _judge_key(self, client: StandInClient) -> None:
        if self._acknowledged >= LEAVES_AT_VERSION:
            await Organisations(self._office, client).judge_key(self.verdict)

    async def _judge_fatal(self, fatal: FatalRequests) -> None:
        """Whether gateways stop sending what ends each upstream, now that nothing disturbs them."""
        for route in CONTENTS:
            try:
                ends = await fatal.until_known(route)
                for _ in range(FATAL_ROUNDS):
                    self._seen += await fatal.everywhere(route)
            except NotServed as exc:
                self.verdict.note(True, f"beside fatal requests: {exc}")
                continue
            self.verdict.counts[f"ended by {route}"] = fatal.ends(route)
            more = fatal.ends(route) - ends
            self.verdict.note(more > LATER_ENDS, f"{route}: {more} upstreams more ended")

    async def _is_served(self, client: StandInClient, gateway: str) -> bool:
        for _ in range(int(RECOVERY_S * 5)):
            seen = [await client.send(gateway, route) for route in ROUTES]
            if all(one.status == 200 for one in seen):
                return True
            await asyncio.sleep(0.2)
        return False

    def _judge(self) -> None:
        book = self._office.book
        for finding in book.violations:
            self.verdict.note(True, finding)
        for seen in self._seen:
            runs = book.runs[seen.request_id]
            what = f"{seen.route} {seen.request_id} status {seen.status}, {runs} runs"
            self.verdict.note(not seen.correct, f"wrong bytes: {what}")
            once = seen.route in ONCE_ROUTES
            self.verdict.note(once and runs > 1, f"ran more than once: {what}")
            self.verdict.note(seen.says_not_run and runs > 0, f"called not run: {what}")
            told = book.organisations.get(seen.request_id, seen.organisation)
            self.verdict.note(told != seen.organisation, f"told as one of {told}: {what}")
        answered = sum(seen.status == 200 and seen.complete for seen in self._seen)
        self.verdict.counts["answered"] = answered
        self.verdict.note(answered == 0, "nothing was answered")
