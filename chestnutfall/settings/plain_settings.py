"""Settings of the stand-in plain service."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from .address import Address


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class PlainSettings:
    """Settings of one stand-in upstream of a plain service.

    Attributes
    ----------
    name, service, data_centre : str
        What the upstream announces of itself.
    listen : Address
        Where gateways connect.
    announce_to : tuple of Address
        Announcement listeners of the gateways.
    announce_key_file : str
        File with the bearer key of its service.
    """

    name: str
    service: str
    data_centre: str
    listen: Address
    announce_to: tuple[Address, ...]
    announce_key_file: str
