"""All hosts lose power at one moment, and as many controllers as are tolerated their disks."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from contextlib import ExitStack

from .configuration_changes import ConfigurationChanges
from .daemon import Daemon
from .disturbances import Disturbances
from .harm import gateway_killed
from .membership import joins, wait_until_member
from .office import Office

LOST_DISKS = 1
"""As many as the settings of the controllers tolerate."""
OFF_S = (0.1, 0.8)


class PowerLoss:
    """Kills every process at one moment, wipes disks, and starts them all again."""

    def __init__(self, office: Office, disturbances: Disturbances) -> None:
        self._office = office
        self._disturbances = disturbances
        self.losses = 0

    async def play(self, rng: random.Random) -> dict[Daemon, int]:
        """Let all lose power.

        Returns
        -------
        dict of Daemon to int
            The controllers that lost their disks, and their number of `joins` before.
        """
        self.losses += 1
        office = self._office
        lost = rng.sample(office.controllers, LOST_DISKS)
        daemons = (*office.controllers, *office.gateways)
        with ExitStack() as stack:
            for gateway in office.gateways:
                name = gateway_killed(office.client_address(gateway))
                stack.enter_context(self._disturbances.recorded(name))
            await asyncio.gather(*(one.kill() for one in daemons))
            joined = {one: len(joins(one)) for one in lost}
            for one in lost:
                one.wipe_disk()
            await asyncio.sleep(rng.uniform(*OFF_S))
            await asyncio.gather(*(one.start(False) for one in daemons))
        return joined

    async def play_under_changes(
        self,
        rng: random.Random,
        changes: ConfigurationChanges,
        check: Callable[[str], Awaitable[None]],
    ) -> None:
        """Let all lose power twice, each time while versions are sent, and check after each.

        Parameters
        ----------
        check : callable
            Notes what was acknowledged and is gone, and gateways that don't serve.
        """
        for _ in range(2):
            sending = asyncio.ensure_future(changes.play_until_cancelled(rng))
            await asyncio.sleep(rng.uniform(0.5, 1.5))
            lost = await self.play(rng)
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
            await check(f"after loss {self.losses} of all power")
            for one, joined in lost.items():
                await wait_until_member(one, self._office.controllers, joined)
