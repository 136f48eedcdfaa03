"""An upstream's load as reported in its answers."""

from __future__ import annotations

import re
from dataclasses import dataclass

_FIGURE = r"([0-9]{1,9})"
_FIGURES = re.compile(rf"{_FIGURE},{_FIGURE},{_FIGURE}(?:,{_FIGURE})?((?:,[^,]*)*)")
USUAL_PERCENT = 100
"""Fourth figure of an upstream whose work takes as long as usual."""
MIN_SLOWDOWN = 0.2
MAX_SLOWDOWN = 20.0
"""Bounds against faulty reports. An upstream five times as fast as usual, or twenty times as slow,
is treated no differently from one beyond these bounds."""


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """The requests at an upstream, and how fast it works.

    Attributes
    ----------
    running, waiting : int
        Requests that it runs, and requests that are queued there.
    max_running : int
        Most requests that it runs at once.
    slowdown : float
        How many times as long as usual its work takes at this moment, as other work on its host
        competes with it; 1 if it reports none.
    has_unread_figures : bool
        Whether the report has further figures, whose meaning is unknown here.
    """

    running: int
    waiting: int
    max_running: int
    slowdown: float = 1.0
    has_unread_figures: bool = False


def read_load(text: str | None) -> UpstreamLoad | None:
    """Parse the value of a load header; None if it is missing or malformed.

    The load is a hint, so a malformed one is no error: without it, the upstream's load is estimated
    from the requests that this gateway sends there. A new release of an upstream may add figures;
    those that are known count all the same.
    """
    found = _FIGURES.fullmatch(text) if text is not None else None
    if found is None:
        return None
    running, waiting, max_running, percent, further = found.groups()
    return UpstreamLoad(
        int(running), int(waiting), int(max_running), _slowdown(percent), bool(further)
    )


def _slowdown(percent: str | None) -> float:
    if percent is None or int(percent) == 0:
        return 1.0
    return min(max(int(percent) / USUAL_PERCENT, MIN_SLOWDOWN), MAX_SLOWDOWN)
