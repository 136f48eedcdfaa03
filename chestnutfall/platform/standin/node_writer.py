"""Writer of settings files, in place of the platform."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path

from ...settings.host_limits import HostLimits

QUOTA_WINDOW_S, QUOTA_OVER, QUOTA_SLACK = 8, 0.1, 30


USUAL_LIMITS = HostLimits(300, 4_100)


@dataclass(frozen=True, slots=True)
class NodePlan:
    """One gateway or controller on a loopback address.

    Attributes
    ----------
    data_folder : str
        Folder of a controller; empty for a gateway.
    seeds : tuple of str
        Loopback IPs of the first controllers.
    first_start : bool
        Whether the whole system starts for the first time, on empty disks.
    limits : HostLimits
        What the process may use of its host.
    """

    ip: str
    name: str
    data_folder: str
    seeds: tuple[str, ...]
    first_start: bool
    limits: HostLimits = USUAL_LIMITS


@dataclass(frozen=True, slots=True)
class Ports:
    """Ports, the same on every host: for clients, readiness, operators, and between daemons."""

    front: int
    ready: int
    control: int
    internal: int


def write_node_file(path: Path, plan: NodePlan, ports: Ports) -> None:
    """Write the settings file of `plan`."""
    seeds = json.dumps([f"{ip}:{ports.control}" for ip in plan.seeds])
    if plan.data_folder:
        listen = f'control = "{plan.ip}:{ports.control}"'
    else:
        listen = f'front = "{plan.ip}:{ports.front}"\nready = "{plan.ip}:{ports.ready}"'
    path.write_text(
        f"""node_name = "{plan.name}"
ip = "{plan.ip}"
zone = "dc"
internal_ports = [{ports.internal},{ports.internal}]
seeds = {seeds}
bootstrap = {json.dumps(plan.first_start)}
data_dir = "{plan.data_folder}"
heartbeat_ms = 400
[listen]
{listen}
[limits]
memory_mb = {plan.limits.memory_mb}
max_fds = {plan.limits.max_fds}
[tolerate]
machines = 1
[bounds]
grace_s = 8
retry_budget_ratio = 0.2
budget_slack = 50
budget_window_s = 10
quota_window_s = {QUOTA_WINDOW_S}
quota_over = {QUOTA_OVER}
quota_slack = {QUOTA_SLACK}
""",
        "utf-8",
    )
