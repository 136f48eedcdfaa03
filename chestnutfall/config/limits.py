"""Bounds on what one request or one office may take."""

from __future__ import annotations

from typing import Annotated

from pydantic import ConfigDict, Field
from pydantic.dataclasses import dataclass


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class Limits:
    """Bounds, the same for every caller.

    Attributes
    ----------
    request_ms : int
        Longest a request may take when its caller sets no deadline.
    loads_per_s, loads_at_once : float, int
        Budget of the weight store.
    claim_retention_ms : int
        How long a claim is remembered.
    queue_per_engine : int
        Requests that may wait for one engine.
    running_per_engine : int
        Requests that one engine may run at once.
    """

    request_ms: Annotated[int, Field(ge=100, le=86_400_000)] = 60_000
    loads_per_s: Annotated[float, Field(gt=0, le=10_000)] = 5.0
    loads_at_once: Annotated[int, Field(ge=1, le=1000)] = 3
    claim_retention_ms: Annotated[int, Field(ge=1000)] = 86_400_000
    queue_per_engine: Annotated[int, Field(ge=1, le=100_000)] = 64
    running_per_engine: Annotated[int, Field(ge=1, le=10_000)] = 16
