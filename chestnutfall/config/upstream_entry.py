"""What operators want of one upstream."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class UpstreamEntry:
    """One upstream by its announced name; `drain` sends it no new work."""

    drain: bool = False
