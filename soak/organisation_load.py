"""Load of an organisation that exceeds its quota and of one whose key is revoked."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

from chestnutfall.platform.standin.client import ClientResult, StandInClient
from chestnutfall.platform.standin.node_writer import QUOTA_OVER, QUOTA_SLACK, QUOTA_WINDOW_S
from chestnutfall.platform.standin.run_registry import RunRegistry
from chestnutfall.platform.standin.tenants import BUSY, BUSY_BURST, BUSY_PER_S, KEYS, LEAVING

from .office import Office
from .verdict import Verdict

SEND_INTERVAL_S = 0.02
"""Interval between requests, at which the busy organisation asks for five times its quota."""
ROUTE = "again"
IN_FORCE_POLLS = 40
"""Requests with a revoked key to each gateway, in which one must be refused."""
POLL_S = 0.1


class OrganisationLoad:
    """Sends the requests of both organisations and checks quota, revocation and logs."""

    def __init__(self, office: Office, client: StandInClient) -> None:
        self._office = office
        self._client = client

    async def send_until_cancelled(self, rng: random.Random, seen: list[ClientResult]) -> None:
        """Send requests through random gateways until cancelled; append each result to `seen`."""
        while True:
            await asyncio.sleep(SEND_INTERVAL_S)
            address = self._office.client_address(rng.choice(self._office.gateways))
            organisation = LEAVING if rng.random() < 0.1 else BUSY
            seen.append(await self._client.send(address, ROUTE, organisation=organisation))

    async def check_revoked_key(self, verdict: Verdict) -> None:
        """Note each gateway that accepts the revoked key; called when no fault is injected."""
        for gateway in self._office.gateways:
            for _ in range(IN_FORCE_POLLS):
                address = self._office.client_address(gateway)
                seen = await self._client.send(address, ROUTE, organisation=LEAVING)
                if seen.status == 401:
                    break
                await asyncio.sleep(POLL_S)
            verdict.note_violation(
                seen.status != 401, f"{gateway.plan.name} takes a key that is gone"
            )

    def check_quota(self, run_registry: RunRegistry, verdict: Verdict) -> None:
        """Note a window in which the busy organisation has more runs than its quota allows."""
        max_runs = run_registry.max_in_window(BUSY, QUOTA_WINDOW_S)
        bound = (BUSY_PER_S * QUOTA_WINDOW_S + BUSY_BURST) * (1 + QUOTA_OVER) + QUOTA_SLACK
        verdict.counts["most runs of the busy one in a window"] = max_runs
        verdict.note_violation(
            max_runs > bound, f"{max_runs} runs of the busy organisation; {bound:g} may be"
        )

    def check_logs(self, folder: Path, verdict: Verdict) -> None:
        """Note each process that wrote an API key to its log, below `folder`."""
        for log in folder.rglob("log"):
            text = log.read_text("utf-8", "replace")
            for name, key in KEYS.items():
                verdict.note_violation(key in text, f"{log.parent.name} wrote the key of {name}")
