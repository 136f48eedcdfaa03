"""Settings of `chestnutfallctl`."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from .address import Address
from .tls_settings import TlsSettings


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class OperatorSettings:
    """Where the controllers are, and the file with the operator's key."""

    controllers: tuple[Address, ...]
    key_file: str
    tls: TlsSettings | None = None
