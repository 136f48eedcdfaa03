"""Settings of `chestnutfall-gateway`."""

from __future__ import annotations

from typing import Annotated

from pydantic import ConfigDict, Field
from pydantic.dataclasses import dataclass

from .address import Address
from .observability_settings import ObservabilitySettings
from .tls_settings import TlsSettings


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class GatewaySettings:
    """One gateway.

    Attributes
    ----------
    name : str
        Name of this entry host.
    data_centre : str
        The site whose configuration is in force here.
    listen : Address
        For callers.
    peer_listen : Address
        For other gateways.
    announce_listen : Address
        For announcements of upstreams.
    controllers : tuple of Address
        Controllers to ask for the first time.
    config_lease_ms : int
        How long it serves without a controller's word that its configuration is in force.
    not_ready_ms : int
        At a graceful stop: how long it says "not ready" before it refuses new requests.
    engine_order_key_file : str or None
        File with the bearer key for orders to engines.
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
