"""All that a gateway knows of what upstreams say, and the last check before each send."""

from __future__ import annotations

import math
from collections.abc import Iterable

from ..clock import Clock
from ..limits.known_limits import KnownLimits
from ..limits.messages import HeardLimit
from .known_backoffs import KnownBackoffs
from .messages import HeardBackoff
from .return_spread import ReturnSpread
from .upstream_signals import UpstreamSignals


class KnownSignals:
    """Where every answer is heard, and every send is asked for.

    Attributes
    ----------
    limits : KnownLimits
        Requests a second that upstreams take.
    backoffs : KnownBackoffs
        Upstreams that want no work.
    """

    def __init__(self, limits: KnownLimits, backoffs: KnownBackoffs, clock: Clock) -> None:
        self.limits = limits
        self.backoffs = backoffs
        self._spread = ReturnSpread(clock)

    def hear(self, instance: str, signals: UpstreamSignals, sent_ms: int, succeeded: bool) -> None:
        """Take in what the answer to a request said that was sent at `sent_ms`."""
        self.limits.observe(instance, signals.limit, sent_ms, succeeded)
        self.backoffs.hear(instance, signals)
        if succeeded:
            self.backoffs.note_served(instance)

    def may_send(self, instance: str) -> bool:
        """The last check before each send, whoever chose the upstream and however long ago.

        Between that choice and the send an answer to another request may have asked for time.
        Symptom without it: a place that was given before, a wait for an adapter, a repeat or a
        resumed run reaches an upstream that has just said that it wants nothing.
        """
        return not self.backoffs.left_ms(instance)

    def again(self) -> tuple[HeardLimit | HeardBackoff, ...]:
        """What to tell a leader that has just begun."""
        return (*self.limits.reports_for_new_leader(), *self.backoffs.again())

    def held_back_ms(self, instances: Iterable[str]) -> float:
        """Time until the first of some upstreams takes work; 0 if one does, or there is none.

        Endless if all of them leave.
        """
        least_ms = math.inf
        found = False
        for instance in instances:
            left_ms = self.backoffs.left_ms(instance)
            if not left_ms:
                return 0.0
            found = True
            least_ms = min(least_ms, left_ms)
        return least_ms if found else 0.0

    def return_ms(self, service: str, held_back_ms: float) -> int:
        """When a caller should come back that no upstream of a service takes: its own moment."""
        return self._spread.wait_ms(service, held_back_ms)
