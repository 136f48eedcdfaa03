"""Decoding of the settings file that the platform writes for each host."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Any

from ..settings.fleet_settings import FleetSettings
from ..settings.host_limits import (
    DEFAULT_DISK_MB,
    DEFAULT_MAX_FDS,
    DEFAULT_MEMORY_MB,
    HostLimits,
)
from ..settings.host_port import split_address
from ..settings.quota_bounds import STRICT_QUOTA_BOUNDS, QuotaBounds
from ..settings.repeat_bounds import RepeatBounds

PATH_VARIABLE = "CHESTNUTFALL_NODE_FILE"
METRICS_PORT = 9464
"""The same on every host, as the deploy file states; the usual port of Prometheus exporters."""


def read_node_file() -> FleetSettings:
    """Read the settings file, whose path the platform sets in the environment.

    Raises
    ------
    KeyError, OSError, ValueError
        If a field is missing or invalid, or the file can't be read.
    """
    return parse(read_content())


def read_content() -> str:
    """Read the settings file as text.

    Raises
    ------
    KeyError, OSError, ValueError
        If its path is not set, or it can't be read.
    """
    return Path(os.environ[PATH_VARIABLE]).read_text("utf-8")


def parse(content: str) -> FleetSettings:
    """Decode the text of the file.

    Raises
    ------
    KeyError, ValueError
        If a field is missing or invalid.
    """
    return to_settings(tomllib.loads(content))


def to_settings(node: dict[str, Any]) -> FleetSettings:
    """Decode the fields of the file.

    Raises
    ------
    KeyError, ValueError
        If a field is missing or invalid.
    """
    listen, bounds, tolerate = node["listen"], node["bounds"], node["tolerate"]
    # `internal_ports` is a range; the protocol between daemons uses its first port.
    peer_port = int(node["internal_ports"][0])
    # `seeds` are addresses of the first controllers' HTTP servers for operators. The protocol
    # between daemons listens on the same IP, on another port.
    seeds = [split_address(seed)[0] for seed in node["seeds"]]
    return FleetSettings(
        name=node["node_name"],
        data_centre=node["zone"],
        ip=node["ip"],
        peer_port=peer_port,
        metrics_port=METRICS_PORT,
        controllers=tuple(f"{ip}:{peer_port}" for ip in seeds),
        caller_listen=listen.get("front", ""),
        ready_listen=listen.get("ready", ""),
        control_listen=listen.get("control", ""),
        first_start=bool(node["bootstrap"]),
        data_folder=node.get("data_dir", ""),
        region=_region(node),
        loss_counts=bool(node.get("loss_counts", True)),
        tolerated_losses=int(tolerate["machines"]),
        tolerated_data_centres=int(tolerate.get("zones", 0)),
        tolerated_regions=int(tolerate.get("regions", 0)),
        heartbeat_ms=int(node["heartbeat_ms"]),
        grace_ms=int(bounds["grace_s"] * 1000),
        repeats=RepeatBounds(
            ratio=float(bounds["retry_budget_ratio"]),
            slack=float(bounds["budget_slack"]),
            window_ms=int(bounds["budget_window_s"] * 1000),
        ),
        quotas=_quota_bounds(bounds),
        limits=_host_limits(node.get("limits", {})),
    )


def _region(node: dict[str, Any]) -> str:
    """Return the region of this host; `zones` maps each data centre to its region."""
    return str(node.get("region") or node.get("zones", {}).get(node["zone"], ""))


def _host_limits(limits: dict[str, Any]) -> HostLimits:
    return HostLimits(
        memory_mb=int(limits.get("memory_mb", DEFAULT_MEMORY_MB)),
        max_fds=int(limits.get("max_fds", DEFAULT_MAX_FDS)),
        disk_mb=int(limits.get("disk_mb", DEFAULT_DISK_MB)),
    )


def _quota_bounds(bounds: dict[str, Any]) -> QuotaBounds:
    """Decode the bounds on quotas; deployments without organisations leave them out."""
    if "quota_window_s" not in bounds:
        return STRICT_QUOTA_BOUNDS
    return QuotaBounds(
        window_ms=int(bounds["quota_window_s"] * 1000),
        excess_ratio=float(bounds.get("quota_over", STRICT_QUOTA_BOUNDS.excess_ratio)),
        slack=float(bounds.get("quota_slack", STRICT_QUOTA_BOUNDS.slack)),
    )
