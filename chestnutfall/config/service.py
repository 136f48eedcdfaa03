"""Configuration of a service, a group of upstreams that do the same work."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import ConfigDict, Field
from pydantic.dataclasses import dataclass

Sha256Hex = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
HttpMethod = Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class Service:
    """Engines with one base model, or plain HTTP services.

    Attributes
    ----------
    kind : {"engine", "plain"}
        Whether its upstreams are engines or plain HTTP services.
    announce_key_sha256 : str
        Hash of the bearer key in the announcements of its upstreams.
    base_model : str
        Base model of its engines; empty for plain services.
    path : str
        Path prefix under which callers reach a plain service.
    non_idempotent_methods : tuple of str
        Methods of a plain service that must run at most once.
    key_required : bool
        Whether non-idempotent requests without an `Idempotency-Key` are refused.
    silent_ms : int
        Time without data after which a request that may run twice is also sent elsewhere, and the
        connection of a stream that has begun counts as dead.
    """

    kind: Literal["engine", "plain"]
    announce_key_sha256: Sha256Hex
    base_model: str = ""
    path: str = ""
    non_idempotent_methods: tuple[HttpMethod, ...] = ("POST", "PATCH", "DELETE")
    key_required: bool = False
    silent_ms: Annotated[int, Field(ge=100, le=600_000)] = 10_000
