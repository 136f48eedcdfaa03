"""Engine ownership and gateway addresses, as sent to gateways."""

from __future__ import annotations

from dataclasses import dataclass

from .messages import GatewayAddress
from .ownership import Ownership


@dataclass(frozen=True, slots=True)
class Directory:
    """Engine ownership and live gateways at one version.

    Attributes
    ----------
    version : str
        Identifies this content; never reused. Empty before the first term.
    owners : tuple of Ownership
        Owner of each engine.
    gateways : tuple of GatewayAddress
        Live gateways, sorted by session.
    """

    version: str = ""
    owners: tuple[Ownership, ...] = ()
    gateways: tuple[GatewayAddress, ...] = ()
