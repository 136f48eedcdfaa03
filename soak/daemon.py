"""A real program as a child process that can be signalled, killed and started again."""

from __future__ import annotations

import asyncio
import os
import re
import shutil
import signal
import sys
from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path

from chestnutfall.platform.node_file import PATH_VARIABLE
from chestnutfall.platform.standin.node_writer import NodePlan, Ports, write_node_file

from .relay import CUT_FILE, PEERS_FILE

ROOT = Path(__file__).resolve().parents[1]
_ENDING_SIGNALS = (signal.SIGTERM, signal.SIGKILL)
LAUNCHERS = {"controller": "chestnutfall.programs.launch", "gateway": "soak.cut_off_launch"}


class Daemon:
    """A gateway or controller as a child process with its own loopback address and folder.

    Parameters
    ----------
    role : str
        Program to start, through the launcher that the deploy file uses.
    folder : Path
        Folder for the settings file and the log.

    Attributes
    ----------
    plan : NodePlan
        Address, name and data folder.
    paused : bool
        Whether the process is stopped by SIGSTOP.
    own_ends : list of int
        Exit codes of processes that ended without `kill` or SIGTERM, as far as it was noticed.
    """

    def __init__(self, role: str, folder: Path, plan: NodePlan, ports: Ports) -> None:
        self.plan = plan
        self.paused = False
        self.own_ends: list[int] = []
        self._end_expected = False
        self._role = role
        self._folder = folder
        self._ports = ports
        self._process: asyncio.subprocess.Process | None = None
        self._starting = asyncio.Lock()
        folder.mkdir(parents=True, exist_ok=True)

    async def start(self, first_start: bool) -> None:
        """Start the process unless it runs; its output is appended to `log` in its folder.

        Parameters
        ----------
        first_start : bool
            Whether the whole office starts for the first time, so that its controllers found a
            group.
        """
        # Two faults may overlap on one daemon. Without the lock both could start a process, and
        # the first one would outlive the run because only the last handle is kept.
        async with self._starting:
            if not self.is_running:
                await self._start(first_start)

    async def _start(self, first_start: bool) -> None:
        self.note_own_end()
        self._end_expected = False
        plan = replace(self.plan, first_start=first_start)
        write_node_file(self._folder / "node.toml", plan, self._ports)
        env = os.environ | {PATH_VARIABLE: str(self._folder / "node.toml")}
        with open(self._folder / "log", "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                LAUNCHERS[self._role],
                self._role,
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    def peak_mb(self) -> float:
        """Return the most memory that the process has held since its start."""
        if self._process is None:
            return 0.0
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        found = re.search(r"VmHWM:\s*(\d+) kB", status)
        return int(found[1]) / 1024 if found else 0.0

    def processor_s(self) -> float:
        """Return the processor time that the process has used since its start."""
        if self._process is None:
            return 0.0
        schedule = Path(f"/proc/{self._process.pid}/schedstat").read_text()
        return int(schedule.split()[0]) / 1e9

    @property
    def pid(self) -> int | None:
        """Id of the process; None before its first start."""
        return None if self._process is None else self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Exit code of the process; None while it runs."""
        return None if self._process is None else self._process.returncode

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._process is not None and self._process.returncode is None

    def note_own_end(self) -> None:
        """Record the exit code of a process that should run and does not, once."""
        if self._process is None or self._process.returncode is None or self._end_expected:
            return
        self._end_expected = True
        self.own_ends.append(self._process.returncode)

    async def reload(self) -> None:
        """Send SIGHUP; to a process that is being started, once its interpreter runs the launcher.

        Before that, no program could keep the signal from ending the process.
        """
        while self.is_running and not self._survives_reload():
            await asyncio.sleep(0.01)
        self.signal(signal.SIGHUP)

    def _survives_reload(self) -> bool:
        assert self._process is not None
        status = Path(f"/proc/{self._process.pid}/status")
        masks = re.findall(
            r"Sig(?:Ign|Cgt):\s*(\w+)", status.read_text() if status.exists() else ""
        )
        bit = 1 << (signal.SIGHUP - 1)
        return any(int(mask, 16) & bit for mask in masks)

    def signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._end_expected = self._end_expected or signum in _ENDING_SIGNALS
            self.paused = signum is signal.SIGSTOP or (self.paused and signum is not signal.SIGCONT)
            self._process.send_signal(signum)

    async def wait_ended(self, timeout_s: float) -> bool:
        """Wait up to `timeout_s` for the end of the process and return whether it ended."""
        if self._process is None:
            return True
        try:
            await asyncio.wait_for(self._process.wait(), timeout_s)
        except TimeoutError:
            return False
        return True

    async def kill(self) -> None:
        """End the process by SIGKILL and wait for its end."""
        self.signal(signal.SIGKILL)
        await self.wait_ended(5)
        self.paused = False

    def cut_links(self, mode: str, ports: Iterable[int]) -> None:
        """Let a gateway open no connection to upstreams; `mode` says how each try ends.

        Parameters
        ----------
        ports : iterable of int
            Ports of the relays of these upstreams.
        """
        (self._folder / CUT_FILE).write_text(" ".join((mode, *map(str, ports))))

    def write_peers(self, addresses: str) -> None:
        """Let a gateway reach other daemons through relays, from its next start on.

        Parameters
        ----------
        addresses : str
            JSON object with the address of a relay by that of its target.
        """
        (self._folder / PEERS_FILE).write_text(addresses)

    def join_links(self) -> None:
        """Let a gateway open connections to upstreams again."""
        (self._folder / CUT_FILE).unlink(missing_ok=True)

    def log_text(self) -> str:
        """Return the log over all starts."""
        return (self._folder / "log").read_text("utf-8", errors="replace")

    def wipe_disk(self) -> None:
        """Delete the data folder."""
        shutil.rmtree(self.plan.data_folder, ignore_errors=True)
