"""Carrying out faults on an office."""

from __future__ import annotations

import asyncio
import signal

from .daemon import Daemon
from .disturbances import Disturbances
from .fault_plan import Fault
from .office import Office
from .relay import Harm

GRACE_S = 9.0
_HARMS = {
    "delay_upstream": Harm.DELAY,
    "reset_upstream": Harm.RESET,
    "silence_answers": Harm.SILENCE_ANSWERS,
    "silence_upstream": Harm.SILENCE,
}


class Faults:
    """Plays faults; never takes more controllers than the office tolerates."""

    def __init__(self, office: Office, disturbances: Disturbances) -> None:
        self._office = office
        self._disturbances = disturbances
        self._controllers = asyncio.Lock()
        self.unfinished_drains = 0

    async def play(self, fault: Fault) -> None:
        """Carry out `fault` and end it."""
        controller = self._office.controllers[fault.target % len(self._office.controllers)]
        gateway = self._office.gateways[fault.target % len(self._office.gateways)]
        match fault.kind:
            case "kill_controller" | "wipe_controller":
                await self._replace(controller, fault, fault.kind == "wipe_controller")
            case "pause_controller":
                async with self._controllers:
                    await self._pause(controller, fault.for_s)
            case "restart_controller":
                async with self._controllers:
                    await self._restart(controller)
                    await asyncio.sleep(2.5)
            case "kill_all_controllers":
                async with self._controllers:
                    await asyncio.gather(*(one.kill() for one in self._office.controllers))
                    await asyncio.gather(*(one.start(False) for one in self._office.controllers))
                    await asyncio.sleep(2.5)
            case "kill_gateway" | "pause_gateway" | "restart_gateway":
                with self._disturbances.on(self._office.front(gateway)):
                    await self._disturb(gateway, fault)
            case "reload_gateway":
                gateway.signal(signal.SIGHUP)
            case "reset_connections":
                relay = self._office.relays[fault.target % len(self._office.relays)]
                with self._disturbances.on(relay.address):
                    relay.reset_all()
            case kind:
                await self._harm(fault, _HARMS[kind])

    async def _disturb(self, gateway: Daemon, fault: Fault) -> None:
        match fault.kind:
            case "kill_gateway":
                await gateway.kill()
                await asyncio.sleep(fault.for_s)
                await gateway.start(False)
            case "pause_gateway":
                await self._pause(gateway, fault.for_s)
            case _:
                await self._restart(gateway)

    async def _replace(self, controller: Daemon, fault: Fault, wipe: bool) -> None:
        async with self._controllers:
            await controller.kill()
            if wipe:
                controller.wipe_disk()
            await asyncio.sleep(fault.for_s)
            await controller.start(False)
            await asyncio.sleep(2.5)

    @staticmethod
    async def _pause(daemon: Daemon, for_s: float) -> None:
        daemon.signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        daemon.signal(signal.SIGCONT)

    async def _restart(self, daemon: Daemon) -> None:
        daemon.signal(signal.SIGCONT)
        daemon.signal(signal.SIGTERM)
        if not await daemon.ended(GRACE_S):
            self.unfinished_drains += 1
            await daemon.kill()
        await daemon.start(False)

    async def _harm(self, fault: Fault, harm: Harm) -> None:
        relay = self._office.relays[fault.target % len(self._office.relays)]
        with self._disturbances.on(relay.address):
            relay.harm = harm
            await asyncio.sleep(fault.for_s)
            relay.harm = Harm.NONE
            if harm in (Harm.SILENCE, Harm.SILENCE_ANSWERS):
                relay.reset_all()
