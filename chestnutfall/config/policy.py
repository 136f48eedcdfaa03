"""Parameters of the placement policy."""

from __future__ import annotations

from typing import Annotated

from pydantic import ConfigDict, Field
from pydantic.dataclasses import dataclass


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class Policy:
    """How requests are ordered and adapters placed.

    Attributes
    ----------
    aging_ms : int
        Time in the queue that raises a request by one priority class; it repeats.
    drain_after_ms : int
        When a request has waited this long and every adapter slot is pinned, one slot takes no
        new work until it is free.
    load_backoff_ms : int
        Pause after a failed load of an adapter; it doubles with each further failure.
    """

    aging_ms: Annotated[int, Field(ge=1)] = 30_000
    drain_after_ms: Annotated[int, Field(ge=0)] = 500
    load_backoff_ms: Annotated[int, Field(ge=1)] = 1000
