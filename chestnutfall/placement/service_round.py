"""One service's queue and engines during one decision round."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection

from .engine_costs import RELAY_DELAY_MS
from .engine_selector import EngineSelector
from .long_prompts import LongPrompts
from .place_option import PlaceOption
from .placement_rate import PlacementRate
from .waiting_request import WaitingRequest


class ServiceRound:
    """Orders a service's waiting requests, places them and estimates how long the rest waits.

    Attributes
    ----------
    selector : EngineSelector
        The service's engines.
    limit_interval_ms : float or None
        Time from one send to the next that the engines' limits allow together; None unless each
        engine has a limit.
    kept : int
        Number of requests that stay in the queue, among those processed so far.
    """

    def __init__(
        self,
        service: str,
        selector: EngineSelector,
        placement_rate: PlacementRate,
        long_prompts: LongPrompts | None,
        owed: dict[int, int],
        now_ms: int,
    ) -> None:
        self.selector = selector
        self._service = service
        self._rate = placement_rate
        self._now_ms = now_ms
        self._owed = owed
        self._owed_tickets: set[str] = set()
        self._long_prompts = long_prompts
        self._in_time: dict[str, bool] = {}
        self._sent_ms: float | None = None
        self._open_ms: float | None = None
        self._full = False
        self._without_prefill: set[bool] = set()
        self.kept = 0
        self._queue_ms = 0.0
        self._late: Counter[int] = Counter()
        per_s = selector.capacity.limit_per_s
        self.limit_interval_ms = 1000 / per_s if per_s else None
        self._intervals_ms: dict[tuple[int, bool], float] = {}

    def can_be_in_time(self, waiting: WaitingRequest) -> bool:
        """Whether the first event of a request could be in time if it were placed now."""
        known = self._in_time.get(waiting.req.ticket)
        if known is None:
            left_ms = waiting.objective_ms(self._now_ms) - self._least_sent_ms(waiting)
            known = self.selector.can_be_in_time(waiting.req, left_ms)
            self._in_time[waiting.req.ticket] = known
        return known

    def _least_sent_ms(self, waiting: WaitingRequest) -> float:
        """Time until the first engine has processed the prompts that it was sent."""
        if not self.shares_prefill(waiting):
            return 0.0
        if self._sent_ms is None:
            sent_ms = (one.prefill.sent_ms(self._now_ms) for one in self.selector.engines)
            self._sent_ms = min(sent_ms, default=0.0)
        return self._sent_ms

    def sort_key(self, waiting: WaitingRequest) -> tuple[bool, int, float, int]:
        """Return the request's sort key in the queue, and count it if it is late and unassigned.

        To be called once for each waiting request.
        """
        in_time = self.can_be_in_time(waiting)
        # A request that waits for a load has its place already and delays no other.
        self._late[waiting.req.rank] += not in_time and not waiting.instance
        return waiting.sort_key(in_time)

    @property
    def owes(self) -> bool:
        """Whether some class is owed more requests in this round."""
        return bool(self._owed)

    def take_owed(self, waiting: WaitingRequest) -> bool:
        """Whether this request goes first as its class is owed one; to be called in order."""
        count = self._owed.get(waiting.req.rank, 0)
        if count <= 0:
            return False
        self._owed[waiting.req.rank] = count - 1
        self._owed_tickets.add(waiting.req.ticket)
        return True

    def best(self, waiting: WaitingRequest, barred: Collection[str] = ()) -> PlaceOption | None:
        """Return the best place for a request now; None when it has to wait.

        Parameters
        ----------
        barred : collection of str
            Engines that it may not use.
        """
        in_time = self.can_be_in_time(waiting)
        if self._full or in_time in self._without_prefill:
            return None
        if in_time and self._is_late_anywhere(waiting):
            return None
        self.selector.barred = {*barred, *self._barred(waiting)}
        objective_ms = waiting.objective_ms(self._now_ms)
        option = self.selector.best(waiting.req, waiting.prefixes, objective_ms)
        if option is None and not barred:
            self._note_shortage(waiting, in_time)
        elif option is not None and in_time and self._is_late_at(option, waiting):
            self._open_ms = None
            return None
        return option

    def shares_prefill(self, waiting: WaitingRequest) -> bool:
        """Whether several classes compete for the prefill that running streams leave."""
        return self._long_prompts is not None and waiting.req.pause_objective_ms > 0

    def _is_late_anywhere(self, waiting: WaitingRequest) -> bool:
        """Whether the prompts sent to the engines with room make this request late on each."""
        if not self.shares_prefill(waiting):
            return False
        if self._open_ms is None:
            self._open_ms = self.selector.capacity.least_sent_ms()
        first_event_ms = self.selector.first_event_ms(waiting.req)
        return self._open_ms + first_event_ms > waiting.objective_ms(self._now_ms)

    def _is_late_at(self, option: PlaceOption, waiting: WaitingRequest) -> bool:
        """Whether the prompts that an engine was sent make this request late there."""
        if option.load_ms is not None or not self.shares_prefill(waiting):
            return False
        engine = option.engine
        prefill_ms = engine.prefill_ms(waiting.req, waiting.prefixes)
        wait_ms = engine.prefill.sent_ms(self._now_ms) + engine.prefill.first_ms + RELAY_DELAY_MS
        return wait_ms + prefill_ms > waiting.objective_ms(self._now_ms)

    def _barred(self, waiting: WaitingRequest) -> Collection[str]:
        if self._long_prompts is None or waiting.req.ticket in self._owed_tickets:
            return ()
        return self._long_prompts.barred(
            waiting.req, waiting.prefixes, self.selector.engines, self._now_ms
        )

    def _note_shortage(self, waiting: WaitingRequest, in_time: bool) -> None:
        """Spare the requests behind one that found no engine a search that will find none."""
        self._full = not self.selector.capacity.has_room(waiting.req)
        if not self.selector.capacity.has_prefill_room(in_time):
            self._without_prefill.add(in_time)

    def queue_ms(self, waiting: WaitingRequest) -> float:
        """Expected wait of a request that found no place, behind those before it in this round.

        To be called once for each such request, in the order of the queue.
        """
        rank = waiting.req.rank
        if not self.can_be_in_time(waiting):
            self._queue_ms += self._interval_ms(rank, in_time=False)
            return self._queue_ms
        before_ms = self._queue_ms
        self._queue_ms += self._interval_ms(rank, in_time=True)
        left_ms = waiting.objective_ms(self._now_ms) - before_ms
        if self.selector.can_be_in_time(waiting.req, left_ms):
            return before_ms
        # Its turn comes too late, so that it will queue behind the requests that are late already.
        # Adding their time now refuses it at once instead of after a tenth of a second.
        late = sum(count for other, count in self._late.items() if other <= rank)
        return before_ms + (late + 1) * self._interval_ms(rank, in_time=False)

    def _interval_ms(self, rank: int, in_time: bool) -> float:
        """Time from one placement to the next, of requests that are no more urgent than `rank`."""
        known = self._intervals_ms.get((rank, in_time))
        if known is not None:
            return known
        starts_per_s = self.selector.capacity.starts_per_s
        if in_time:
            interval_ms = self._rate.interval_ms(self._service, starts_per_s, self._now_ms, rank)
        else:
            interval_ms = self._rate.late_interval_ms(
                self._service, starts_per_s, self._now_ms, rank, self._long_prompts is not None
            )
        # Recent placements may predate the engines' limits, and would give too high a rate.
        interval_ms = max(interval_ms, self.limit_interval_ms or 0.0)
        self._intervals_ms[rank, in_time] = interval_ms
        return interval_ms
