"""Clients that leave early, and whether anything is sent on for them afterwards."""

from __future__ import annotations

import asyncio
import random
import signal
import time

from chestnutfall.platform.standin.leaving_client import LeavingClient, LeftRequest

from .disturbances import Disturbances
from .harm import gateway_paused, links_held
from .office import Office
from .recovery_checks import ROUTES
from .verdict import Verdict

CLIENTS = 8
CALM_CLIENTS = 40
PAUSE_S = (0.1, 0.4)
LEAVE_S = (0.0, 0.0, 0.1, 0.25, 1.0)
"""Times after which clients leave; 0 is before the gateway can have read anything."""
LATE_S = 0.5
"""Time after a client's leaving from which nothing may be sent on for it."""
EACH_S = 0.02
STOPPED_S = 1.0
HELD_S = 1.2
SETTLE_S = 1.5
"""Time in which what was held up arrives, if it does."""


class LeaveEpisodes:
    """Lets clients leave, and compares with what reaches upstreams.

    Attributes
    ----------
    left : list of LeftRequest
        Requests whose clients left before anything came.
    """

    def __init__(self, office: Office, disturbances: Disturbances) -> None:
        self._office = office
        self._disturbances = disturbances
        self._delays_s: list[tuple[float, float]] = []
        self.left: list[LeftRequest] = []

    async def play_until_cancelled(self, rng: random.Random) -> None:
        """Let some clients leave again and again until cancelled."""
        measuring = asyncio.ensure_future(self._measure_delays())
        try:
            while True:
                gateway = self._office.client_address(rng.choice(self._office.gateways))
                await self._leave(rng, gateway, CLIENTS, LEAVE_S)
                await asyncio.sleep(rng.uniform(*PAUSE_S))
        finally:
            measuring.cancel()

    async def check_calm(self, rng: random.Random, verdict: Verdict) -> None:
        """Let clients leave a gateway that stands still, and one whose links hold their bytes."""
        measuring = asyncio.ensure_future(self._measure_delays())
        before = len(self.left)
        await self._leave_stopped(rng)
        await self._leave_held(rng)
        await asyncio.sleep(SETTLE_S)
        measuring.cancel()
        verdict.note_violation(len(self.left) == before, "no client left in the calm")

    async def _leave_stopped(self, rng: random.Random) -> None:
        daemon = rng.choice(self._office.gateways)
        address = self._office.client_address(daemon)
        # Idle connections to upstreams are what a late gateway would send over at once.
        await self._leave(rng, address, CLIENTS, (1.0,))
        with self._disturbances.recorded(gateway_paused(address)):
            daemon.signal(signal.SIGSTOP)
            await self._leave(rng, address, CALM_CLIENTS, (0.0, 0.1))
            await asyncio.sleep(STOPPED_S)
            daemon.signal(signal.SIGCONT)

    async def _leave_held(self, rng: random.Random) -> None:
        daemon = rng.choice(self._office.gateways)
        address = self._office.client_address(daemon)
        await self._leave(rng, address, CLIENTS, (1.0,))
        held = [one.holding(daemon.plan.ip) for one in self._office.relays]
        with self._disturbances.recorded(links_held(address)):
            for one in held:
                one.__enter__()
            await self._leave(rng, address, CALM_CLIENTS, (0.05, 0.2))
            await asyncio.sleep(HELD_S)
            for one in held:
                one.__exit__(None, None, None)

    async def _leave(
        self, rng: random.Random, gateway: str, clients: int, after_s: tuple[float, ...]
    ) -> None:
        client = LeavingClient(rng)
        sends = (
            client.send(gateway, rng.choice(ROUTES), rng.choice(after_s)) for _ in range(clients)
        )
        self.left += [one for one in await asyncio.gather(*sends) if one is not None]

    async def _measure_delays(self) -> None:
        """Note how late this process is, which reads what reaches its upstreams."""
        while True:
            due_s = time.monotonic() + EACH_S
            await asyncio.sleep(EACH_S)
            now_s = time.monotonic()
            if now_s - due_s > EACH_S:
                self._delays_s.append((now_s, now_s - due_s))

    def check(self, verdict: Verdict) -> None:
        """Note requests that reached an upstream too long after their clients left."""
        arrived_s = self._office.run_registry.arrived_s
        late = [
            f"{one.route} {one.request_id} at {one.gateway}: {at_s - one.left_s:.2f} s after"
            for one in self.left
            for at_s in arrived_s.get(one.request_id, ())
            if at_s - one.left_s > LATE_S + self._delayed_s(one.left_s, at_s)
        ]
        verdict.counts["clients that left"] = len(self.left)
        verdict.note_violation(bool(late), f"sent on for clients that had left: {late}")

    def _delayed_s(self, from_s: float, until_s: float) -> float:
        return sum(delay_s for at_s, delay_s in self._delays_s if from_s <= at_s <= until_s + 0.1)
