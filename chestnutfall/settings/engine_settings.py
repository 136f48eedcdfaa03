"""Settings of the stand-in engine."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import ConfigDict, Field
from pydantic.dataclasses import dataclass

from .address import Address


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class EngineSettings:
    """Settings of one stand-in engine.

    Attributes
    ----------
    name, service, data_centre, base_model : str
        What the engine announces of itself.
    listen : Address
        Where gateways connect.
    announce_to : tuple of Address
        Announcement listeners of the gateways.
    announce_key_file : str
        File with the bearer key of its service.
    fencing : {"checked", "ignored"}
        Whether it refuses orders with an old fencing token, or runs every order.
    slots : int
        Number of adapters that it can hold.
    load_ms, step_ms : int
        Duration of one load, and of one step of the batch.
    batch : int
        Most requests in one step.
    announce_ms : int
        Time between two announcements.
    ttl_ms : int
        How long gateways take an announcement as valid.
    seed : int
        Accepted, but without effect.
    """

    name: str
    service: str
    data_centre: str
    base_model: str
    listen: Address
    announce_to: tuple[Address, ...]
    announce_key_file: str
    fencing: Literal["checked", "ignored"] = "checked"
    slots: Annotated[int, Field(ge=1)] = 4
    load_ms: Annotated[int, Field(ge=0)] = 300
    step_ms: Annotated[int, Field(ge=1)] = 5
    batch: Annotated[int, Field(ge=1)] = 16
    announce_ms: Annotated[int, Field(ge=10)] = 900
    ttl_ms: Annotated[int, Field(ge=10)] = 1900
    seed: int = 1
