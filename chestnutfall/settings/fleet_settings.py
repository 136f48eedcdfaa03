"""Settings of a daemon, as read from the platform's node file."""

from __future__ import annotations

from dataclasses import dataclass

from .host_limits import HostLimits
from .host_place import HostPlace
from .quota_bounds import QuotaBounds
from .repeat_bounds import RepeatBounds


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Settings of one daemon, a gateway or a controller.

    Attributes
    ----------
    name, data_centre, ip : str
        Name, data centre and IP of this host.
    peer_port, metrics_port : int
        Ports of the system's internal protocol and of the metrics.
    controllers : tuple of str
        Addresses of known controllers, for the internal protocol.
    caller_listen, ready_listen, control_listen : str
        Where it listens for callers, for readiness checks, and for operators and upstreams;
        empty for what it does not serve.
    first_start : bool
        Whether the system starts for the first time, with empty disks on all hosts.
    data_folder : str
        Folder on the host's disk; empty when there is none.
    region : str
        Region of this host's data centre; empty if unknown.
    loss_counts : bool
        Whether the loss of this host counts as one of those that are tolerated.
    tolerated_losses, tolerated_data_centres, tolerated_regions : int
        Number of controllers that may fail at the same time, wherever they stand, or of data
        centres or regions with all their controllers.
    heartbeat_ms : int
        Time between two announcements of an upstream.
    grace_ms : int
        Time from the stop signal until the process is killed.
    repeats : RepeatBounds
        Limit on repeated sends, over all gateways.
    quotas : QuotaBounds
        How far quotas may be exceeded, over all gateways.
    limits : HostLimits
        What the process may use of its host.
    """

    name: str
    data_centre: str
    ip: str
    peer_port: int
    metrics_port: int
    controllers: tuple[str, ...]
    caller_listen: str
    ready_listen: str
    control_listen: str
    first_start: bool
    data_folder: str
    region: str
    loss_counts: bool
    tolerated_losses: int
    tolerated_data_centres: int
    tolerated_regions: int
    heartbeat_ms: int
    grace_ms: int
    repeats: RepeatBounds
    quotas: QuotaBounds
    limits: HostLimits

    @property
    def place(self) -> HostPlace:
        """Where this host stands."""
        return HostPlace(self.data_centre, self.region, self.loss_counts)

    @property
    def peer_address(self) -> str:
        """Address at which other daemons reach this one."""
        return f"{self.ip}:{self.peer_port}"
