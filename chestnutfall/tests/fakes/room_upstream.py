"""A simulated upstream of a plain service with a few places and a short queue."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from ...control.upstream_record import UpstreamRecord
from ...signals import UpstreamLoad
from .room_clock import RoomClock

PLACES, QUEUE = 6, 24
WORK_MS = 60.0
ROOM_PER_S = PLACES * 1000 / WORK_MS
"""Calls per second that one upstream runs."""
FULL, DONE, FAILED = "full", "done", "failed"
Answer = tuple[str, UpstreamLoad | None]


@dataclass(frozen=True, slots=True)
class _Run:
    """A request and the callable that takes its answer."""

    work_ms: float
    answer: Callable[[Answer], None]


class RoomUpstream:
    """Runs `PLACES` requests at once in order of arrival, and refuses those beyond its queue.

    Attributes
    ----------
    work_ms : float
        Mean time of a request.
    slowdown : float
        How many times as long work takes now.
    fail_fraction : float
        Fraction of requests that fail at once.
    told_places : int
        Places that it reports.
    arrivals, shed, most : int
        Requests that arrived, those that it refused, and the most that were there at once.
    """

    def __init__(self, record: UpstreamRecord, clock: RoomClock, rng: random.Random) -> None:
        self.record = record
        self._clock = clock
        self._rng = rng
        self.work_ms = WORK_MS
        self.slowdown = 1.0
        self.fail_fraction = 0.0
        self.told_places = PLACES
        self.reports_load = True
        self.arrivals = self.shed = self.most = 0
        self.running = 0
        self.queue: deque[_Run] = deque()

    def receive(self, answer: Callable[[Answer], None]) -> None:
        """Run a request; `answer` is called with the result and the load."""
        self.arrivals += 1
        if len(self.queue) >= QUEUE:
            self.shed += 1
            answer((FULL, self._load()))
            return
        self.queue.append(_Run(self._rng.lognormvariate(-0.11, 0.47) * self.work_ms, answer))
        self.most = max(self.most, self.running + len(self.queue))
        self._run_next()

    def _run_next(self) -> None:
        while self.queue and self.running < PLACES:
            run = self.queue.popleft()
            self.running += 1
            fails = self._rng.random() < self.fail_fraction
            work_ms = 2.0 if fails else run.work_ms * self.slowdown
            self._clock.at(work_ms, partial(self._end, run, fails))

    def _end(self, run: _Run, fails: bool) -> None:
        load = self._load()
        self.running -= 1
        self._run_next()
        run.answer((FAILED if fails else DONE, load))

    def _load(self) -> UpstreamLoad | None:
        if not self.reports_load:
            return None
        return UpstreamLoad(self.running, len(self.queue), self.told_places, self.slowdown)
