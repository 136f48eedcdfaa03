"""Settings of `chestnutfall-controller`."""

from __future__ import annotations

from typing import Annotated

from pydantic import ConfigDict, Field
from pydantic.dataclasses import dataclass

from .address import Address
from .observability_settings import ObservabilitySettings
from .tls_settings import TlsSettings


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class MemberSettings:
    """A controller of the first membership."""

    name: str
    address: Address


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class ControllerSettings:
    """One controller.

    Attributes
    ----------
    name : str
        Name of this controller's host.
    listen : Address
        For other controllers, gateways and operators.
    data_folder : str
        The only folder it writes to.
    first_members : tuple of MemberSettings
        Membership used by `--bootstrap`, the same on all of them.
    admin_key_sha256 : str
        Hash of the key that always has the role admin, for the first change.
    """

    name: Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,31}$")]
    listen: Address
    data_folder: str
    first_members: tuple[MemberSettings, ...]
    admin_key_sha256: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
    tls: TlsSettings | None = None
    observability: ObservabilitySettings = ObservabilitySettings()
