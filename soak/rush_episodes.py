"""Most new connections at one gateway, which has little processor, and what it makes of them."""

from __future__ import annotations

import asyncio
import random
import time

from chestnutfall.platform.standin.client import NOT_RUN_STATUSES
from chestnutfall.platform.standin.connecting_client import (
    UNREAD_STATUS,
    ConnectingAttempt,
    ConnectingClient,
)

from .disturbances import Disturbances
from .office import Office
from .processor_share import ProcessorShare
from .verdict import Verdict

CALLERS = 30
ROUTE = "again"
PAUSE_S = (0.05, 0.2)
EPISODE_S = 6.0
SETTLED_S = 3.0
SHARE = 0.2
"""Part of a processor of the gateway in the rush."""
MIN_SERVED_PART = 0.75
"""Part of what the gateway reads that it must serve once the rush has lasted `SETTLED_S`."""
MIN_READ = 10


class RushEpisodes:
    """Opens a connection for each of many requests, all at one gateway.

    Attributes
    ----------
    attempts : list of ConnectingAttempt
        All of them that ended.
    """

    def __init__(self, office: Office, disturbances: Disturbances) -> None:
        self._office = office
        self._disturbances = disturbances
        self.attempts: list[ConnectingAttempt] = []

    async def play_until_cancelled(self, rng: random.Random) -> None:
        """Play one episode after another until cancelled; what is served isn't judged."""
        while True:
            await asyncio.sleep(rng.uniform(2.0, 5.0))
            gateway = self._office.client_address(rng.choice(self._office.gateways))
            await self._play(rng, gateway, rng.uniform(0.5, 1.5))

    async def check_calm(self, rng: random.Random, verdict: Verdict) -> None:
        """Check what a gateway serves in a rush while no fault is injected."""
        daemon = rng.choice(self._office.gateways)
        small = ProcessorShare(daemon, SHARE)
        small.begin()
        began_s = time.monotonic()
        attempts = await self._play(rng, self._office.client_address(daemon), EPISODE_S)
        small.end()
        log = daemon.log_text()
        settled = (one for one in attempts if one.sent_s > began_s + SETTLED_S)
        read = [one for one in settled if one.status != UNREAD_STATUS or one.request_id in log]
        served = sum(one.whole for one in read)
        ends = sorted({f"{one.status} {one.reason}" for one in read if not one.whole})
        verdict.counts["read in a rush"] = len(read)
        verdict.note_violation(
            len(read) < MIN_READ or served < MIN_SERVED_PART * len(read),
            f"{daemon.plan.name} served {served} of {len(read)} that it read in a rush: {ends}",
        )

    async def _play(
        self, rng: random.Random, gateway: str, length_s: float
    ) -> list[ConnectingAttempt]:
        until_s = time.monotonic() + length_s
        client = ConnectingClient(rng)
        sends = (self._send(client, rng, gateway, until_s) for _ in range(CALLERS))
        results = await asyncio.gather(*sends)
        attempts = [one for each in results for one in each]
        self.attempts += attempts
        return attempts

    async def _send(
        self, client: ConnectingClient, rng: random.Random, gateway: str, until_s: float
    ) -> list[ConnectingAttempt]:
        attempts = []
        while time.monotonic() < until_s:
            attempts.append(await client.send(gateway, ROUTE))
            await asyncio.sleep(rng.uniform(*PAUSE_S))
        return attempts

    def check(self, verdict: Verdict) -> None:
        """Note wrong answers, and requests that ran though they were called not run or unread."""
        runs = self._office.run_registry.runs
        logs = "".join(one.log_text() for one in self._office.gateways)
        verdict.counts["rushed requests"] = len(self.attempts)
        for one in self.attempts:
            what = f"rushed {one.request_id} status {one.status}, {runs[one.request_id]} runs"
            verdict.note_violation(one.status == 200 and not one.whole, f"wrong bytes: {what}")
            says_not_run = self._is_unread(one, logs) or one.status in NOT_RUN_STATUSES
            verdict.note_violation(
                says_not_run and runs[one.request_id] > 0, f"called not run: {what}"
            )

    def _is_unread(self, attempt: ConnectingAttempt, logs: str) -> bool:
        """Whether its gateway closed the connection by itself and logged nothing of the request.

        One that is killed logs nothing of what it has sent on either.
        """
        until_s = attempt.sent_s + attempt.took_s
        was_harmed = self._disturbances.overlaps(attempt.gateway, attempt.sent_s, until_s)
        closed = attempt.status == UNREAD_STATUS and not was_harmed
        return closed and attempt.request_id not in logs
