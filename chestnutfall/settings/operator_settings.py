"""Settings of `chestnutfallctl`."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from .address import Address
from .tls_settings import TlsSettings


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class OperatorSettings:
    """Settings of the operators' command line.

    Attributes
    ----------
    controllers : tuple of Address
        Addresses of the controllers.
    key_file : str
        File with the operator's key.
    tls : TlsSettings or None
        Files for mutual TLS; None for connections without TLS.
    """

    controllers: tuple[Address, ...]
    key_file: str
    tls: TlsSettings | None = None
