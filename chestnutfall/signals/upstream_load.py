"""How much an upstream has to do, by its own word."""

from __future__ import annotations

import re
from dataclasses import dataclass

_FIGURES = re.compile(r"([0-9]{1,9}),([0-9]{1,9}),([0-9]{1,9})")


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Requests that an upstream runs, those that wait there, and its places."""

    running: int
    waiting: int
    places: int


def read_load(text: str | None) -> UpstreamLoad | None:
    """Read a load as it stands in a header; None for anything that is none.

    A load is a hint: without it an upstream is weighed by what this gateway sends there.
    """
    found = _FIGURES.fullmatch(text) if text is not None else None
    return UpstreamLoad(*map(int, found.groups())) if found is not None else None
