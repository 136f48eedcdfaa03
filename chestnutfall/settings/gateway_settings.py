"""Settings of `chestnutfall-gateway`."""

from __future__ import annotations

from typing import Annotated

from pydantic import ConfigDict, Field
from pydantic.dataclasses import dataclass

from .address import Address
from .host_limits import HostLimits
from .observability_settings import ObservabilitySettings
from .tls_settings import TlsSettings


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class GatewaySettings:
    """Settings of one gateway.

    Attributes
    ----------
    name : str
        Name of this gateway's host.
    data_centre : str
        The site whose configuration is in force here.
    listen : Address
        Where callers connect.
    peer_listen : Address
        Where other gateways connect.
    announce_listen : Address
        Where upstreams send their announcements.
    controllers : tuple of Address
        Controllers for the first contact.
    config_lease_ms : int
        How long it serves without confirmation from a controller that its configuration is
        in force.
    not_ready_ms : int
        At a graceful stop, how long it reports "not ready" before it refuses new requests.
    tls : TlsSettings or None
        Files for mutual TLS; None for connections without TLS.
    observability : ObservabilitySettings
        Outputs of logs, metrics and traces.
    limits : HostLimits
        What the process may use of its host.
    """

    name: Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,31}$")]
    data_centre: str
    listen: Address
    peer_listen: Address
    announce_listen: Address
    controllers: tuple[Address, ...]
    config_lease_ms: Annotated[int, Field(ge=1000, le=600_000)] = 6000
    not_ready_ms: Annotated[int, Field(ge=0, le=60_000)] = 1000
    tls: TlsSettings | None = None
    observability: ObservabilitySettings = ObservabilitySettings()
    limits: HostLimits = HostLimits()
