"""What the engines of one service can take together."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from functools import cached_property

from .active_backoffs import ActiveBackoffs
from .engine import Engine
from .engine_costs import EngineCosts
from .place_request import PlaceRequest


class ServiceCapacity:
    """Rates, room and waits of the engines of one service during one decision round.

    Parameters
    ----------
    engines : collection of Engine
        Engines that something may be sent to now.
    fraction : float
        Part of the service's engines that `engines` is a sample of.

    Attributes
    ----------
    limit_per_s : float or None
        Sum of the engines' own limits, in requests a second; None unless each of them has a limit.
    """

    def __init__(
        self,
        engines: Collection[Engine],
        backoffs: ActiveBackoffs,
        costs: EngineCosts,
        now_ms: int,
        fraction: float,
    ) -> None:
        self._engines = engines
        self._backoffs = backoffs
        self._costs = costs
        self._now_ms = now_ms
        self._fraction = fraction
        limits = [one.limit.per_s for one in self._accepting()]
        limit_per_s = sum(one or 0.0 for one in limits) / self._fraction
        self.limit_per_s = None if None in limits else limit_per_s

    @cached_property
    def starts_per_s(self) -> float:
        """Requests a second that all engines of the service together can start."""
        return sum(one.starts_per_s() for one in self._accepting()) / self._fraction

    def _accepting(self) -> Iterator[Engine]:
        """Yield the engines that would probably not reject a request."""
        return (one for one in self._engines if not self._backoffs.probably_rejects(one))

    def has_room(self, req: PlaceRequest) -> bool:
        """Whether any engine could start one more request."""
        return any(
            engine.has_room(req) and not engine.send_wait_ms(self._now_ms)
            for engine in self._engines
        )

    def has_prefill_room(self, in_time: bool) -> bool:
        """Whether any engine has time for one more prompt, of a request in time or a late one."""
        return any(self._costs.standing(one)[1].admits(in_time) for one in self._engines)

    def least_sent_ms(self) -> float:
        """Time until an engine with time for one more prompt has processed those it was sent."""
        sent_ms = (
            engine.prefill.sent_ms(self._now_ms)
            for engine in self._engines
            if self._costs.standing(engine)[1].in_time
        )
        return min(sent_ms, default=0.0)

    def next_send_ms(self) -> int:
        """Time until the limit of at least one engine allows one more request."""
        waits_ms = (one.limit.wait_ms(0, self._now_ms) for one in self._engines)
        return min(waits_ms, default=0)

    def unavailable_ms(self, req: PlaceRequest) -> float:
        """Time until the first engine accepts requests of this gateway; 0 if one does now."""
        if not self._backoffs:
            return 0.0
        model = req.adapter.model
        usable = (one for one in self._engines if not model or model in one.models)
        return self._backoffs.unavailable_ms(req, usable)
