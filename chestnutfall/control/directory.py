"""Who owns what and where to reach them."""

from __future__ import annotations

from dataclasses import dataclass

from .messages import GatewayAddress
from .ownership import Ownership


@dataclass(frozen=True, slots=True)
class Directory:
    """Ownership and live gateways under one version, which is never reused."""

    version: str = ""
    owners: tuple[Ownership, ...] = ()
    gateways: tuple[GatewayAddress, ...] = ()
