"""Log lines on what each class of requests is served while room is short."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from .place_request import PlaceRequest
from .waiting_request import WaitingRequest

log = logging.getLogger(__name__)
LOG_MS = 1_000
"""Time between two lines of one class."""
MAX_LOGGED_RANK = 9
"""Requests of a higher rank are counted with this one."""


@dataclass(frozen=True, slots=True)
class _RequestClass:
    """The requests of one service and rank."""

    service: str
    rank: int


class ClassLog:
    """Counts grants and refusals by class, and logs them once a second where any were late.

    Nothing is logged of a class while all its requests can be in time.
    """

    def __init__(self) -> None:
        self._in_time: Counter[_RequestClass] = Counter()
        self._late: Counter[_RequestClass] = Counter()
        self._refused: Counter[_RequestClass] = Counter()
        self._due_ms = 0

    def note_granted(self, req: PlaceRequest, in_time: bool) -> None:
        """Count a request that is sent to its engine."""
        (self._in_time if in_time else self._late)[_class_of(req)] += 1

    def note_refused(self, req: PlaceRequest) -> None:
        """Count a request that is refused."""
        self._refused[_class_of(req)] += 1

    def write_due(self, waiting: Iterable[WaitingRequest], now_ms: int) -> None:
        """Log the counts of the last second, if it is over, and begin anew."""
        if now_ms < self._due_ms:
            return
        self._due_ms = now_ms + LOG_MS
        short = set(self._late) | set(self._refused)
        queued = Counter(_class_of(one.req) for one in waiting) if short else Counter()
        for kind in sorted(short, key=lambda one: (one.service, one.rank)):
            log.info(
                "classes: service=%s rank=%d in_time=%d late=%d refused=%d waiting=%d",
                kind.service,
                kind.rank,
                self._in_time[kind],
                self._late[kind],
                self._refused[kind],
                queued[kind],
            )
        for counts in (self._in_time, self._late, self._refused):
            counts.clear()


def _class_of(req: PlaceRequest) -> _RequestClass:
    return _RequestClass(req.service, min(req.rank, MAX_LOGGED_RANK))
