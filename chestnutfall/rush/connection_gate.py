"""Decides which new connections of callers a gateway takes."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..clock import Clock
from .admission_pace import AdmissionPace
from .opening import Opening
from .standing_delay import StandingDelay

log = logging.getLogger(__name__)
LONGEST_DELAY_MS = 15
"""Turn of the event loop that callers bear: a call passes some ten, and they wait for a few tenths
of a second."""
STEP_MS = 100
GROWTH = 0.05
LEAST_LIMIT = 4
"""Calls of new connections at a time that any gateway takes, so that none is closed to all."""
EASED_MS = 2_000
"""Time without a refusal after which there is no limit."""
UNUSED_MS = 1_000
"""Time after which a connection without a whole call no longer counts: it was opened ahead, or its
client waits for nothing yet."""
MIN_FIRST_SHARE = 0.5
"""Part of the calls that must come on new connections; refusing these helps no other overload."""


class ConnectionGate:
    """Limits the calls of new connections that wait for an answer while the gateway is behind.

    A gateway that takes more connections than it can serve answers none in time. Once its turns of
    the event loop are too long and stay so, it closes what goes beyond a limit, unread, so that
    callers turn to other gateways at once. The limit shrinks while turns stay long and grows while
    they don't, as the processor and the calls allow, and goes once nothing is refused any more.
    Calls on connections that have served one are never limited.

    Parameters
    ----------
    count : callable
        Counts refused connections, by name.
    """

    def __init__(self, clock: Clock, count: Callable[[str], None]) -> None:
        self._clock = clock
        self._count = count
        self._openings: set[Opening] = set()
        self._turns = StandingDelay()
        self._pace = AdmissionPace()
        self._limit: float | None = None
        self._stepped_ms = 0
        self._refused_ms = 0
        self._shrunk_ms = 0
        self._firsts = 0
        self._calls = 0

    @property
    def limit(self) -> float | None:
        """Calls of new connections that may wait for an answer; None for any number."""
        return self._limit

    def admit(self) -> Opening | None:
        """Return the record of a connection that has just come; None if it is to be closed."""
        now_ms = self._clock.now_ms()
        if now_ms - self._stepped_ms >= STEP_MS:
            self._stepped_ms = now_ms
            self._step(now_ms)
        if self._limit is not None and not self._has_room(now_ms, self._limit):
            self._refused_ms = now_ms
            self._count("connections_refused_unread")
            return None
        opening = Opening(now_ms)
        self._openings.add(opening)
        return opening

    def _has_room(self, now_ms: int, limit: float) -> bool:
        if not self._openings:
            # The pace follows how long calls took; alone, a quick one after slow ones is no load.
            return True
        return len(self._openings) < limit and self._pace.admits(now_ms, limit)

    def arrived(self, opening: Opening) -> None:
        """Note that bytes of a new connection have come."""
        if opening.arrived_ms is None:
            opening.arrived_ms = self._clock.now_ms()

    def began(self, opening: Opening | None) -> None:
        """Note a call; `opening` is None if it isn't the first one of its connection."""
        self._calls += 1
        if opening is None or opening.arrived_ms is None:
            return
        self._firsts += 1
        # Those of before the limit say nothing about it.
        if opening.accepted_ms >= self._shrunk_ms:
            now_ms = self._clock.now_ms()
            self._turns.note(now_ms, now_ms - opening.arrived_ms)

    def ended(self, opening: Opening) -> None:
        """Note that the answer to the first call begins, or that the connection has ended."""
        self._openings.discard(opening)
        if opening.arrived_ms is not None:
            self._pace.note_call(self._clock.now_ms() - opening.accepted_ms)

    def _step(self, now_ms: int) -> None:
        self._forget_unused(now_ms)
        turns = self._turns
        delay_ms = turns.standing_ms(now_ms) if self._limit is None else turns.last_ms(now_ms)
        is_late = delay_ms > LONGEST_DELAY_MS
        if self._limit is None:
            if is_late and self._firsts >= MIN_FIRST_SHARE * self._calls:
                self._begin(now_ms, delay_ms)
        elif is_late:
            self._shrink(now_ms, self._limit, delay_ms)
        elif now_ms - self._refused_ms > EASED_MS:
            self._end()
        elif now_ms - self._refused_ms <= STEP_MS:
            self._limit += self._limit * GROWTH
        if not is_late:
            self._firsts = self._calls = 0

    def _begin(self, now_ms: int, delay_ms: float) -> None:
        self._shrink(now_ms, len(self._openings), delay_ms)
        self._refused_ms = now_ms
        log.info("connections: limited calls=%d turn_ms=%d", self._limit, delay_ms)

    def _shrink(self, now_ms: int, calls: float, delay_ms: float) -> None:
        """Allow as many calls as should take turns that callers bear, and measure these anew."""
        self._limit = max(calls * LONGEST_DELAY_MS / delay_ms, LEAST_LIMIT)
        self._shrunk_ms = now_ms
        self._turns.clear()

    def _end(self) -> None:
        self._limit = None
        log.info("connections: no longer limited")

    def _forget_unused(self, now_ms: int) -> None:
        self._openings = {
            one
            for one in self._openings
            if now_ms - one.accepted_ms <= UNUSED_MS
            or (one.arrived_ms is not None and not one.is_unfinished)
        }
