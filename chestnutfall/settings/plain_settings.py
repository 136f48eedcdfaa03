"""Settings of the stand-in plain service."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from .address import Address


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class PlainSettings:
    """One stand-in plain service."""

    name: str
    service: str
    data_centre: str
    listen: Address
    announce_to: tuple[Address, ...]
    announce_key_file: str
