"""The announcement that an upstream sends to gateways."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import ConfigDict, Field
from pydantic.dataclasses import dataclass

from ..settings.address import Address

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,63}$")]


@dataclass(frozen=True, config=ConfigDict(extra="ignore"))
class Announcement:
    """State of an upstream, which it sends again well within `ttl_ms`.

    Unknown keys in the JSON are ignored.

    Attributes
    ----------
    address : str
        IP and port.
    incarnation : str
        Identifies one process of the upstream; new with each start.
    ttl_ms : int
        Time for which the announcement is valid after its receipt.
    state : {"serving", "leaving"}
        A leaving upstream finishes its work and accepts no new work.
    fencing : {"checked", "ignored"}
        Whether the upstream refuses orders with a stale fencing token.
    slots : int
        Adapters that an engine can hold at once.
    running, waiting : int
        Load of the upstream, at the time of sending.
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
