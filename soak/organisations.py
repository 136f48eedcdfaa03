"""An organisation that asks for far more than its quota, and one whose key is taken away."""

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

PAUSE_S = 0.02
"""Five times what the busy organisation may ask for."""
ROUTE = "again"
IN_FORCE_POLLS = 40
POLL_S = 0.1


class Organisations:
    """Sends for both of them, and judges what came of it."""

    def __init__(self, office: Office, client: StandInClient) -> None:
        self._office = office
        self._client = client

    async def keep_asking(self, rng: random.Random, seen: list[ClientResult]) -> None:
        """Send for the one or the other again and again, until cancelled."""
        while True:
            await asyncio.sleep(PAUSE_S)
            front = self._office.front(rng.choice(self._office.gateways))
            who = LEAVING if rng.random() < 0.1 else BUSY
            seen.append(await self._client.send(front, ROUTE, organisation=who))

    async def judge_key(self, verdict: Verdict) -> None:
        """Whether every gateway refuses the key that is gone, now that nothing disturbs them."""
        for gateway in self._office.gateways:
            for _ in range(IN_FORCE_POLLS):
                front = self._office.front(gateway)
                seen = await self._client.send(front, ROUTE, organisation=LEAVING)
                if seen.status == 401:
                    break
                await asyncio.sleep(POLL_S)
            verdict.note(seen.status != 401, f"{gateway.plan.name} takes a key that is gone")

    def judge_quota(self, book: RunRegistry, verdict: Verdict) -> None:
        """Whether any window has more runs of the busy organisation than may be."""
        most = book.max_in_window(BUSY, QUOTA_WINDOW_S)
        bound = (BUSY_PER_S * QUOTA_WINDOW_S + BUSY_BURST) * (1 + QUOTA_OVER) + QUOTA_SLACK
        verdict.counts["most runs of the busy one in a window"] = most
        verdict.note(most > bound, f"{most} runs of the busy organisation; {bound:g} may be")

    def judge_logs(self, folder: Path, verdict: Verdict) -> None:
        """Whether any process wrote a key."""
        for log in folder.rglob("log"):
            text = log.read_text("utf-8", "replace")
            for name, key in KEYS.items():
                verdict.note(key in text, f"{log.parent.name} wrote the key of {name}")
