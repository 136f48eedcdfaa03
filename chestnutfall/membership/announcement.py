"""What an upstream says of itself."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import ConfigDict, Field
from pydantic.dataclasses import dataclass

from ..settings.address import Address

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,63}$")]


@dataclass(frozen=True, config=ConfigDict(extra="ignore"))
class Announcement:
    """One announcement, repeated well within its TTL.

    Attributes
    ----------
    incarnation : str
        New with each start of the upstream.
    state : {"serving", "leaving"}
        A leaving upstream finishes its work and takes no new one.
    ttl_ms : int
        How long the announcement holds.
    running, waiting : int
        Load report; it lags behind.
    """

    name: Name
    service: Name
    data_centre: str
    address: Address
    incarnation: Annotated[str, Field(min_length=1, max_length=64)]
    ttl_ms: Annotated[int, Field(ge=10, le=2000)]
    state: Literal["serving", "leaving"] = "serving"
    fencing: Literal["checked", "ignored"] = "ignored"
    slots: Annotated[int, Field(ge=0, le=10_000)] = 0
    running: Annotated[int, Field(ge=0)] = 0
    waiting: Annotated[int, Field(ge=0)] = 0
