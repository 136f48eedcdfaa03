"""One real program, started, harmed and ended from outside."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import sys
from pathlib import Path

from chestnutfall.platform.node_file import PATH_VARIABLE
from chestnutfall.platform.standin.node_writer import NodePlan, Ports, write_node_file

ROOT = Path(__file__).resolve().parents[1]


class Daemon:
    """A gateway or controller on its own loopback address.

    Attributes
    ----------
    paused : bool
        Whether it was stopped by SIGSTOP.
    """

    def __init__(self, module: str, folder: Path, plan: NodePlan, ports: Ports) -> None:
        self.plan = plan
        self.paused = False
        self._module = module
        self._folder = folder
        self._ports = ports
        self._process: asyncio.subprocess.Process | None = None
        self._starting = asyncio.Lock()
        folder.mkdir(parents=True, exist_ok=True)

    async def start(self, first_start: bool) -> None:
        """Start the process unless it runs; its output goes to a file in its folder."""
        # Two faults may overlap on one daemon. A second process would outlive the run, since
        # only the last one that was started is known by its handle.
        async with self._starting:
            if not self.is_running:
                await self._start(first_start)

    async def _start(self, first_start: bool) -> None:
        plan = NodePlan(
            self.plan.ip, self.plan.name, self.plan.data_folder, self.plan.seeds, first_start
        )
        write_node_file(self._folder / "node.toml", plan, self._ports)
        env = os.environ | {PATH_VARIABLE: str(self._folder / "node.toml")}
        with open(self._folder / "log", "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", self._module, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    @property
    def is_running(self) -> bool:
        """Whether the process is there."""
        return self._process is not None and self._process.returncode is None

    def signal(self, signum: signal.Signals) -> None:
        """Send a signal to this very process."""
        if self._process is not None and self._process.returncode is None:
            self.paused = signum is signal.SIGSTOP or (self.paused and signum is not signal.SIGCONT)
            self._process.send_signal(signum)

    async def ended(self, within_s: float) -> bool:
        """Wait for the end of the process."""
        if self._process is None:
            return True
        try:
            await asyncio.wait_for(self._process.wait(), within_s)
        except TimeoutError:
            return False
        return True

    async def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        await self.ended(5)
        self.paused = False

    def wipe_disk(self) -> None:
        """Lose everything that it stored."""
        shutil.rmtree(self.plan.data_folder, ignore_errors=True)
