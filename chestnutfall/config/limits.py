"""Limits on requests, engines and loads from the weight store."""

from __future__ import annotations

from typing import Annotated

from pydantic import ConfigDict, Field
from pydantic.dataclasses import dataclass


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class Limits:
    """Limits that are the same for every caller.

    Attributes
    ----------
    request_ms : int
        Time until an answer must begin; the default and the upper bound of a caller's timeout.
    loads_per_s, loads_at_once : float, int
        Most loads from the weight store a second, and at the same time, over all engines.
    claim_retention_ms : int
        How long the claim of an `Idempotency-Key` is kept.
    queue_per_engine : int
        Most requests that wait for one engine.
    running_per_engine : int
        Most requests that one engine runs at once.
    """

    request_ms: Annotated[int, Field(ge=100, le=86_400_000)] = 60_000
    loads_per_s: Annotated[float, Field(gt=0, le=10_000)] = 5.0
    loads_at_once: Annotated[int, Field(ge=1, le=1000)] = 3
    claim_retention_ms: Annotated[int, Field(ge=1000)] = 86_400_000
    queue_per_engine: Annotated[int, Field(ge=1, le=100_000)] = 64
    running_per_engine: Annotated[int, Field(ge=1, le=10_000)] = 16
