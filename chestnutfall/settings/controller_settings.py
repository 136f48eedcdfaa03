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
    """A controller of the first membership.

    Attributes
    ----------
    name : str
        Name of the controller's host.
    address : Address
        Where the other controllers reach it.
    """

    name: str
    address: Address


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class ControllerSettings:
    """Settings of one controller.

    Attributes
    ----------
    name : str
        Name of this controller's host.
    listen : Address
        Where other controllers, gateways and operators connect.
    data_folder : str
        The only folder that the controller writes to.
    first_members : tuple of MemberSettings
        Membership that `--bootstrap` starts with; the same on all of these controllers.
    admin_key_sha256 : str
        Hash of the key that always has the role admin, so that a first change is possible.
    tls : TlsSettings or None
        Files for mutual TLS; None for connections without TLS.
    observability : ObservabilitySettings
        Outputs of logs, metrics and traces.
    """

    name: Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,31}$")]
    listen: Address
    data_folder: str
    first_members: tuple[MemberSettings, ...]
    admin_key_sha256: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
    tls: TlsSettings | None = None
    observability: ObservabilitySettings = ObservabilitySettings()
