"""A small deployment of the project's own programs on loopback addresses."""

from __future__ import annotations

import asyncio
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
METRICS_PORT = 9464
SETTINGS = """\
node_name = "{name}"
role = "{role}"
machine_class = "{kind}"
serves = ["{serves}"]
ip = "{ip}"
zone = "{zone}"
region = "region-1"
internal_ports = [{internal},{last}]
seeds = [{seeds}]
bootstrap = {bootstrap}
loss_counts = {counts}
discovery = "registry"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine"]
config_mode = "highest"
{data}
[zones]
zone-1 = "region-1"
zone-2 = "region-1"
zone-3 = "region-1"
[listen]
{listen}
[limits]
cpu_share = 0.86
cores = 3
memory_mb = 300
max_fds = 4096
link_mbps = 1000.0
disk_mb = 128
[tolerate]
machines = {tolerate}
zones = {tolerate_zones}
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 58
recovery_s = 12
pass_ms = 120
retry_after_s = 0
fencing_required = true
lease_ms = 3000
thaw_ms = 300
ceiling_window_s = 5
ceiling_over = 1.1
version_ms = 5000
"""


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._start

    def note(self, text: str) -> None:
        self._file.write(f"{self.now():7.3f} s  {text}\n")
        self._file.flush()


class Machine:
    """One machine of the system, with its process."""

    def __init__(
        self, deployment: Deployment, role: str, number: int, zone: str = "zone-1"
    ) -> None:
        self._deployment = deployment
        self.role = role
        self.zone = zone
        self.is_front = role == "gateway"
        self.name = f"{'front' if self.is_front else 'core'}-{number + 1}"
        self.ip = deployment.address(number + (20 if self.is_front else 10))
        self.data = deployment.folder / self.name
        self._file = deployment.folder / f"{self.name}.toml"
        self._log = deployment.folder / f"{self.name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, bootstrap: bool = True) -> None:
        """Start the process with the command of the deploy file."""
        all_of_it = self._deployment
        listen = f'control = "{self.ip}:{all_of_it.control}"'
        data = f'data_dir = "{self.data}"'
        if self.is_front:
            listen = f'front = "{self.ip}:{all_of_it.front}"\nready = "{self.ip}:{all_of_it.ready}"'
            data = ""
        else:
            self.data.mkdir(exist_ok=True)
        self._file.write_text(
            SETTINGS.format(
                name=self.name,
                role=self.role,
                kind="front" if self.is_front else "core",
                serves="front" if self.is_front else "control",
                ip=self.ip,
                internal=all_of_it.internal,
                last=all_of_it.internal + 15,
                seeds=all_of_it.seeds,
                bootstrap="true" if bootstrap else "false",
                counts="false" if self.is_front else "true",
                data=data,
                listen=listen,
                tolerate=all_of_it.tolerate,
                tolerate_zones=all_of_it.tolerate_zones,
                zone=self.zone,
            )
        )
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["CHESTNUTFALL_NODE_FILE"] = str(self._file)
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "-m", "chestnutfall.programs.launch", self.role],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def send(self, signum: signal.Signals) -> None:
        if self.process is not None and self.is_running:
            self.process.send_signal(signum)

    def kill(self) -> None:
        if self.process is not None and self.is_running:
            self.process.kill()
            self.process.wait()

    def lose_disk(self) -> None:
        shutil.rmtree(self.data)

    def log_text(self) -> str:
        return self._log.read_text()


class Deployment:
    """Controllers and gateways; the first three controllers are the seeds.

    Parameters
    ----------
    tolerate, tolerate_zones : int
        Machines, or zones, whose loss at the same time is to be borne.
    zones : sequence of str
        Zone of each controller; by default all are in one.
    """

    def __init__(
        self,
        record: Record,
        cores: int,
        fronts: int,
        tolerate: int,
        tolerate_zones: int = 0,
        zones: Sequence[str] = (),
    ) -> None:
        self.record = record
        self.tolerate, self.tolerate_zones = tolerate, tolerate_zones
        self._choose_network(cores, fronts)
        self.folder = Path(tempfile.mkdtemp())
        of_cores = zones or ["zone-1"] * cores
        self.cores = [
            Machine(self, "controller", number, zone) for number, zone in enumerate(of_cores)
        ]
        self.fronts = [Machine(self, "gateway", number) for number in range(fronts)]
        self.seeds = ",".join(f'"{one.ip}:{self.control}"' for one in self.cores[:3])

    def _choose_network(self, cores: int, fronts: int) -> None:
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun("target/deps is missing: run the build of the deploy file first")
        for _ in range(50):
            self._network = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
            self.internal = random.randrange(20000, 30000, 40)
            self.control, self.front, self.ready = (self.internal + 20 + n for n in range(3))
            ports = (self.internal, self.control, self.front, self.ready, METRICS_PORT)
            hosts = [*range(10, 10 + cores), *range(20, 20 + fronts)]
            if all(is_free(self.address(host), port) for host in hosts for port in ports):
                return
        raise CannotRun("no free ports")

    def address(self, host: int) -> str:
        return f"{self._network}.{host}"

    def start(self) -> None:
        for one in (*self.cores, *self.fronts):
            one.start()

    def call(self, core: Machine, method: str, path: str, message: Any = None) -> tuple[int, bytes]:
        """Call a controller; status 0 if there is no answer within a second."""
        conn = http.client.HTTPConnection(core.ip, self.control, timeout=1.0)
        body = None if message is None else json.dumps(message).encode()
        try:
            conn.request(method, path, body, {"Content-Type": "application/json"})
            answer = conn.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            conn.close()

    async def call_any(self, method: str, path: str, message: Any, within_s: float) -> str:
        """Call one controller after the other until one acknowledges; return its name."""
        until_s = self.record.now() + within_s
        while self.record.now() < until_s:
            for one in random.sample(self.cores, len(self.cores)):
                status, _ = await asyncio.to_thread(self.call, one, method, path, message)
                if 200 <= status < 300:
                    return one.name
            await asyncio.sleep(0.1)
        raise CannotRun(f"{method} {path} was not acknowledged")

    async def wait_until_ready(self) -> None:
        for one in self.fronts:
            for _ in range(200):
                if await asyncio.to_thread(self._is_ready, one):
                    break
                await asyncio.sleep(0.05)
            else:
                raise CannotRun(f"{one.name} is not ready")

    def _is_ready(self, front: Machine) -> bool:
        conn = http.client.HTTPConnection(front.ip, self.ready, timeout=1.0)
        try:
            conn.request("GET", "/v1/ready")
            return conn.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            conn.close()

    def stop(self) -> None:
        """End all processes that were started."""
        for one in (*self.cores, *self.fronts):
            one.send(signal.SIGCONT)
            one.kill()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder)


def is_free(ip: str, port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


def document(version: int, routes: list[dict[str, Any]], services: list[Any]) -> dict[str, Any]:
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
