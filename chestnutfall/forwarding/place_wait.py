"""The longest wait of a call for a place at an upstream."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any, TypeVar

from ..clock import Clock
from .faults import InnerTimeout
from .progress import Progress

T = TypeVar("T")
PLACE_MARGIN_MS = 50
"""Reserved behind the wait. Few upstreams answer in less, and a refusal must reach a client that
still listens, also from a gateway whose turns of the event loop are late."""
PLACE_MARGIN_FRACTION = 0.05
"""Part of a short call's time that is reserved instead."""


class NoPlaceInTime(Exception):
    """A call got no place as long as one was of use to it."""


async def within_place_time(
    clock: Clock, progress: Progress, selecting: Coroutine[Any, Any, T]
) -> T:
    """Run the search for a place as long as one is of use to its call.

    Raises
    ------
    NoPlaceInTime
        When it has not ended by then; it is cancelled.
    """
    by_ms = progress.until_ms - place_margin_ms(progress)
    try:
        return await clock.within_ms(by_ms - clock.now_ms(), selecting)
    except TimeoutError as exc:
        if clock.now_ms() < by_ms - 1:
            raise InnerTimeout(str(exc)) from exc
        raise NoPlaceInTime from exc


def place_margin_ms(progress: Progress) -> float:
    """Return the time before a call's end from which a place is of no use to it."""
    whole_ms = progress.until_ms - progress.call.arrived_ms
    return min(PLACE_MARGIN_MS, PLACE_MARGIN_FRACTION * whole_ms)
