"""Operators' settings for one upstream."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class UpstreamEntry:
    """Settings for the upstream with the entry's name, which is its announced name.

    Attributes
    ----------
    drain : bool
        Whether the upstream gets no new work.
    """

    drain: bool = False
