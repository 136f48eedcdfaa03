"""One service's queue and engines during one round of decisions."""

from __future__ import annotations

from .choice import Choice
from .pace import Pace
from .place_option import PlaceOption
from .waiting import Waiting


class ServiceRound:
    """Who goes first, who can be placed, and how long the rest waits.

    Attributes
    ----------
    choice : Choice
        The service's engines.
    limit_step_ms : float or None
        Time from one send to the next that they take, if each of them names a limit.
    kept : int
        Requests that stay in the queue, of those looked at so far.
    """

    def __init__(self, service: str, choice: Choice, pace: Pace, now_ms: int) -> None:
        self.choice = choice
        self._now_ms = now_ms
        self._full = False
        self.kept = 0
        self._queue_ms = 0.0
        self._late = 0
        per_s = choice.limit_per_s
        self.limit_step_ms = 1000 / per_s if per_s else None
        self._step_ms = pace.step_ms(service, choice.starts_per_s, now_ms)
        self._late_step_ms = pace.late_step_ms(service, choice.starts_per_s, now_ms)
        if self.limit_step_ms is not None:
            # What was granted in the last seconds says nothing of a limit that was just named.
            self._step_ms = max(self._step_ms, self.limit_step_ms)
            self._late_step_ms = max(self._late_step_ms, self.limit_step_ms)

    def can_be_in_time(self, waiting: Waiting) -> bool:
        """Whether its first event could be in time if it had a place now."""
        return self.choice.can_be_in_time(waiting.req, waiting.objective_ms(self._now_ms))

    def order(self, waiting: Waiting) -> tuple[bool, int, float, int]:
        """Sort key: who goes first. To be asked once for each waiting request."""
        in_time = self.can_be_in_time(waiting)
        # Who waits for a load has its place already and holds up nobody.
        self._late += not in_time and not waiting.instance
        return waiting.order(in_time)

    def best(self, waiting: Waiting) -> PlaceOption | None:
        """The best place for a request now; None when it has to wait."""
        if self._full:
            return None
        objective_ms = waiting.objective_ms(self._now_ms)
        option = self.choice.best(waiting.req, waiting.prefixes, objective_ms)
        # What one request finds full is not tried for each one behind it.
        self._full = option is None and not self.choice.has_room(waiting.req)
        return option

    def queue_ms(self, waiting: Waiting) -> float:
        """How long a request that found no place waits behind those before it in this round."""
        if not self.can_be_in_time(waiting):
            self._queue_ms += self._late_step_ms
            return self._queue_ms
        before_ms = self._queue_ms
        self._queue_ms += self._step_ms
        left_ms = waiting.objective_ms(self._now_ms) - before_ms
        if self.choice.can_be_in_time(waiting.req, left_ms):
            return before_ms
        # Its turn comes too late, so that it will stand behind those that are late already. Known
        # at once, its caller is told at once, and not after a tenth of a second of waiting.
        return before_ms + (self._late + 1) * self._late_step_ms
