"""Configuration of a caller: its key, grants and limits."""

from __future__ import annotations

from typing import Annotated

from pydantic import ConfigDict, Field
from pydantic.dataclasses import dataclass

from ..routes import Organisation, Quota, QuotaUnit
from .priority_class import PriorityClass
from .service import Sha256Hex

ALL = "*"
BURST_S = 1.0
"""A caller may send the requests of this many seconds of its rate at once."""


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class Caller:
    """Configuration of one caller.

    Attributes
    ----------
    key_sha256 : str
        Hash of its bearer key; the key itself is stored nowhere.
    adapters, services : tuple of str
        Names of the adapters and plain services it may use; `*` grants all.
    highest_class : PriorityClass
        Most urgent class it may ask for, and the default when it asks for none.
    rate_per_s : float
        Rate limit, in requests a second through all gateways together.
    concurrency : int
        Most requests in progress at each gateway.
    """

    key_sha256: Sha256Hex
    adapters: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    highest_class: PriorityClass = PriorityClass.NORMAL
    rate_per_s: Annotated[float, Field(gt=0, le=100_000)] = 100.0
    concurrency: Annotated[int, Field(ge=1, le=100_000)] = 100

    def as_organisation(self, name: str) -> Organisation:
        """Return the organisation, named `name`, under which the caller's quota is kept."""
        burst = max(self.rate_per_s * BURST_S, 1.0)
        quota = Quota(QuotaUnit.REQUESTS, self.rate_per_s, burst)
        return Organisation(name, (self.key_sha256,), None, quota)

    def may_use_adapter(self, name: str) -> bool:
        """Return whether the caller may use the adapter `name`."""
        return ALL in self.adapters or name in self.adapters

    def may_use_service(self, name: str) -> bool:
        """Return whether the caller may use the plain service `name`."""
        return ALL in self.services or name in self.services
