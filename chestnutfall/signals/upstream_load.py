"""An upstream's load as reported in its answers."""

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
        Requests that it runs, and requests that are queued there.
    max_running : int
        Most requests that it runs at once.
    """

    running: int
    waiting: int
    max_running: int


def read_load(text: str | None) -> UpstreamLoad | None:
    """Parse the value of a load header; None if it is missing or malformed.

    The load is a hint, so a malformed one is no error: without it, the upstream's load is estimated
    from the requests that this gateway sends there.
    """
    found = _FIGURES.fullmatch(text) if text is not None else None
    return UpstreamLoad(*map(int, found.groups())) if found is not None else None
