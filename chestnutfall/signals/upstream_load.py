"""An upstream's load as told in its answers."""

from __future__ import annotations

import re
from dataclasses import dataclass

_FIGURES = re.compile(r"([0-9]{1,9}),([0-9]{1,9}),([0-9]{1,9})")


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """The requests at an upstream.

    Attributes
    ----------
    running, waiting : int
        Requests that it runs, and that are queued there.
    places : int
        Requests that it can run at a time.
    """

    running: int
    waiting: int
    places: int


def read_load(text: str | None) -> UpstreamLoad | None:
    """Parse the value of a load header; None if it is missing or malformed.

    The load is a hint, so a malformed one is no error: without it an upstream is weighed by what
    this gateway sends there.
    """
    found = _FIGURES.fullmatch(text) if text is not None else None
    return UpstreamLoad(*map(int, found.groups())) if found is not None else None
