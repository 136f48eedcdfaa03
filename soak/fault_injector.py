"""Injection of planned faults into the processes and connections of an office."""

from __future__ import annotations

import asyncio
import signal
from contextlib import ExitStack

from .daemon import Daemon
from .disturbances import Disturbances
from .fault_plan import Fault
from .harm import gateway_killed, gateway_paused, gateway_restarted, links_harmed
from .membership import joins, wait_until_member
from .office import Office
from .relay import ConnectionFault

GRACE_S = 9.0
"""Time in which a daemon must end after SIGTERM."""
_CONNECTION_FAULTS = {
    "delay_upstream": ConnectionFault.DELAY,
    "reset_upstream": ConnectionFault.RESET,
    "silence_answers": ConnectionFault.SILENCE_ANSWERS,
    "silence_upstream": ConnectionFault.SILENCE,
}


class FaultInjector:
    """Injects faults into an office and records those that affect gateways and upstreams.

    Faults of controllers run one at a time, so that a majority keeps running, except for
    `kill_all_controllers`, which restarts all of them at once. After a restart, 2.5 s pass before
    the next of these faults, so that the controller can start and rejoin the others.

    Attributes
    ----------
    unfinished_drains : int
        Restarts in which the daemon did not end within `GRACE_S` and was killed.
    """

    def __init__(self, office: Office, disturbances: Disturbances) -> None:
        self._office = office
        self._disturbances = disturbances
        self._controllers_lock = asyncio.Lock()
        self.unfinished_drains = 0

    async def inject(self, fault: Fault) -> None:
        """Inject `fault`, wait for its duration and undo it."""
        controller = self._office.controllers[fault.target % len(self._office.controllers)]
        gateway = self._office.gateways[fault.target % len(self._office.gateways)]
        match fault.kind:
            case "kill_controller" | "wipe_controller":
                await self._replace(controller, fault, fault.kind == "wipe_controller")
            case "pause_controller":
                async with self._controllers_lock:
                    await self._pause(controller, fault.for_s)
            case "restart_controller":
                async with self._controllers_lock:
                    await self._restart(controller)
                    await asyncio.sleep(2.5)
            case "kill_all_controllers":
                async with self._controllers_lock:
                    await asyncio.gather(*(one.kill() for one in self._office.controllers))
                    await asyncio.gather(*(one.start(False) for one in self._office.controllers))
                    await asyncio.sleep(2.5)
            case "kill_gateway" | "pause_gateway" | "restart_gateway":
                with self._disturbances.recorded(self._office.client_address(gateway)):
                    await self._fault_gateway(gateway, fault)
            case "reload_gateway":
                await gateway.reload()
            case "reset_connections":
                relay = self._office.relays[fault.target % len(self._office.relays)]
                with (
                    self._disturbances.recorded(relay.address),
                    self._disturbances.recorded(links_harmed(relay.address)),
                ):
                    relay.reset_all()
            case kind:
                await self._fault_connections(fault, _CONNECTION_FAULTS[kind])

    async def _fault_gateway(self, gateway: Daemon, fault: Fault) -> None:
        address = self._office.client_address(gateway)
        match fault.kind:
            case "kill_gateway":
                with self._disturbances.recorded(gateway_killed(address)):
                    await gateway.kill()
                    await asyncio.sleep(fault.for_s)
                    await gateway.start(False)
            case "pause_gateway":
                with self._disturbances.recorded(gateway_paused(address)):
                    await self._pause(gateway, fault.for_s)
            case _:
                with self._disturbances.recorded(gateway_restarted(address)):
                    await self._restart(gateway)

    async def _replace(self, controller: Daemon, fault: Fault, wipe: bool) -> None:
        async with self._controllers_lock:
            joined = len(joins(controller))
            await controller.kill()
            if wipe:
                controller.wipe_disk()
            await asyncio.sleep(fault.for_s)
            await controller.start(False)
            await asyncio.sleep(2.5)
            if wipe:
                await wait_until_member(controller, self._office.controllers, joined)

    @staticmethod
    async def _pause(daemon: Daemon, for_s: float) -> None:
        daemon.signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        daemon.signal(signal.SIGCONT)

    async def _restart(self, daemon: Daemon) -> None:
        daemon.signal(signal.SIGCONT)
        daemon.signal(signal.SIGTERM)
        if not await daemon.wait_ended(GRACE_S):
            self.unfinished_drains += 1
            await daemon.kill()
        await daemon.start(False)

    async def _fault_connections(self, fault: Fault, connection_fault: ConnectionFault) -> None:
        relay = self._office.relays[fault.target % len(self._office.relays)]
        with ExitStack() as stack:
            stack.enter_context(self._disturbances.recorded(relay.address))
            if connection_fault is not ConnectionFault.DELAY:
                name = links_harmed(relay.address)
                stack.enter_context(self._disturbances.recorded(name))
            relay.fault = connection_fault
            await asyncio.sleep(fault.for_s)
            relay.fault = ConnectionFault.NONE
            if connection_fault in (ConnectionFault.SILENCE, ConnectionFault.SILENCE_ANSWERS):
                relay.reset_all()
