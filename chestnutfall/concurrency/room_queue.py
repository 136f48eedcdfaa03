"""Calls that wait for the upstreams of one plain service, at the leader."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

from .fair_lane import FairLane, GroupKey
from .fair_rate import fair_rate
from .pace import Pace
from .waiting_call import WaitingCall

FLOOR_TURNS = 10
"""A kind of calls with waiting ones gets a turn after so many of others, whatever its rank."""
MAX_KINDS = 4
"""Kinds with a floor at one time, the first ones that wait; together they get less than half."""
REJUDGE_INTERVAL_MS = 100
"""How often waiting calls are checked; what limits them changes about as fast."""
REJUDGE_FACTOR = 1.5
"""A call that was kept is refused only for a wait so many times too long. Expected waits vary from
one moment to the next, and a call that has waited has lost time that it can't use elsewhere."""
MAX_WAITING_CALLS = 4_096
"""Calls that wait per service; more can't be served within any call's time."""

Gateway = TypeVar("Gateway")


@dataclass(frozen=True, slots=True)
class RefusedCall(Generic[Gateway]):
    """A call that can't be served in its time.

    Attributes
    ----------
    wait_ms : float
        Time until it would get a turn; infinite if it would get none.
    excess_ms : float
        Part of it that the call can't wait.
    per_ms : float
        Rate of turns of its organisation and kind.
    """

    call: WaitingCall[Gateway]
    wait_ms: float
    excess_ms: float
    per_ms: float


class RoomQueue(Generic[Gateway]):
    """Decides which waiting call goes next, and which can't be served in their time.

    Calls that can still meet their objective go first; late ones use what those leave. Within
    both, `FairLane` decides. A kind that got less than its floor goes before all.
    """

    def __init__(self) -> None:
        self._in_time: FairLane[Gateway] = FairLane()
        self._late: FairLane[Gateway] = FairLane()
        self._others_turns: dict[str, int] = {}
        self._new: dict[int, tuple[FairLane[Gateway], WaitingCall[Gateway]]] = {}
        self._judged_ms = 0

    def __len__(self) -> int:
        return len(self._in_time) + len(self._late)

    def push(self, call: WaitingCall[Gateway], now_ms: int) -> None:
        """Queue a call; the next `refused` judges whether it can be served."""
        lane = self._in_time if now_ms <= call.in_time_by_ms else self._late
        lane.push(call, now_ms)
        self._new[id(call)] = lane, call

    def remove_where(self, matches: Callable[[WaitingCall[Gateway]], bool]) -> None:
        """Remove all calls that match."""
        self._new = {key: one for key, one in self._new.items() if not matches(one[1])}
        for lane in (self._in_time, self._late):
            lane.remove_where(matches)

    def take(
        self, choose: Callable[[WaitingCall[Gateway]], str]
    ) -> tuple[WaitingCall[Gateway], str] | None:
        """Remove the next call for which there is an upstream, and return both.

        Parameters
        ----------
        choose : callable
            Returns the upstream that takes a call; empty if none does.
        """
        for lane, kind in self._orders():
            for call in lane.in_order(kind):
                instance = choose(call)
                if instance:
                    lane.serve(call)
                    self._new.pop(id(call), None)
                    self._note_served(call.asked.kind)
                    return call, instance
        return None

    def _orders(self) -> Iterator[tuple[FairLane[Gateway], str | None]]:
        for kind in [kind for kind, turns in self._others_turns.items() if turns >= FLOOR_TURNS]:
            yield self._in_time, kind
            yield self._late, kind
        yield self._in_time, None
        yield self._late, None

    def _note_served(self, served: str) -> None:
        waiting = sorted(self._in_time.kinds() | self._late.kinds())[:MAX_KINDS]
        self._others_turns = {
            kind: self._others_turns.get(kind, 0) + 1 for kind in waiting if kind != served
        }

    def refused(self, pace: Pace, now_ms: int) -> Iterator[RefusedCall[Gateway]]:
        """Remove the calls that can't be served in their time, and yield them."""
        judge = _Judge(self._in_time, self._late, pace, now_ms)
        new, self._new = list(self._new.values()), {}
        for lane, call in new:
            yield from judge.judged(lane, call, lane.ahead_of(call), 1.0)
        if now_ms - self._judged_ms < REJUDGE_INTERVAL_MS:
            return
        self._judged_ms = now_ms
        for lane in (self._in_time, self._late):
            for call, ahead in list(lane.numbered()):
                yield from judge.judged(lane, call, ahead, REJUDGE_FACTOR)


class _Judge(Generic[Gateway]):
    """Expected waits at one moment, and what follows from them."""

    def __init__(
        self, in_time: FairLane[Gateway], late: FairLane[Gateway], pace: Pace, now_ms: int
    ) -> None:
        self._in_time = in_time
        self._late = late
        self._pace = pace
        self._now_ms = now_ms
        self._rates: dict[tuple[bool, GroupKey, str], float] = {}

    def judged(
        self, lane: FairLane[Gateway], call: WaitingCall[Gateway], ahead: int, factor: float
    ) -> Iterator[RefusedCall[Gateway]]:
        """Keep a call, move it to the late ones, or remove and yield it."""
        refused = None
        if lane is self._in_time:
            refused = self._missing(lane, call, ahead, call.in_time_by_ms, factor)
            if refused is None:
                return
            lane.remove(call)
            self._late.push(call, self._now_ms)
            ahead, factor = self._late.ahead_of(call), 1.0
        refused_late = self._missing(self._late, call, ahead, call.start_by_ms, factor)
        if refused_late is not None:
            self._late.remove(call)
            yield refused or refused_late

    def _missing(
        self,
        lane: FairLane[Gateway],
        call: WaitingCall[Gateway],
        ahead: int,
        by_ms: float,
        factor: float,
    ) -> RefusedCall[Gateway] | None:
        """Return by how much a call misses a time; None if its run can begin by then."""
        left_ms = min(by_ms, call.start_by_ms) - self._now_ms
        per_ms = self._per_ms(lane, call)
        wait_ms = self._pace.first_ms + (ahead / per_ms if per_ms else math.inf)
        if wait_ms <= left_ms * factor and ahead < MAX_WAITING_CALLS:
            return None
        return RefusedCall(call, wait_ms, max(wait_ms - left_ms, 0.0), per_ms)

    def _per_ms(self, lane: FairLane[Gateway], call: WaitingCall[Gateway]) -> float:
        """Rate at which a call's organisation gets turns for its kind."""
        key = (lane is self._late, call.group, call.asked.organisation)
        if key not in self._rates:
            self._rates[key] = self._flow_per_ms(lane, call)
        return self._rates[key]

    def _flow_per_ms(self, lane: FairLane[Gateway], call: WaitingCall[Gateway]) -> float:
        all_per_ms = self._pace.per_ms
        if math.isinf(all_per_ms):
            return all_per_ms
        now_ms = self._now_ms
        left_per_ms = all_per_ms
        if lane is self._late:
            left_per_ms -= self._in_time.demand_per_ms(now_ms)
        left_per_ms -= lane.more_urgent_per_ms(call.asked.rank, now_ms)
        floor = all_per_ms / (FLOOR_TURNS + 1) if lane is self._in_time else 0.0
        kind_per_ms = fair_rate(
            max(left_per_ms, floor), lane.other_kinds_per_ms(call.group, now_ms)
        )
        others = lane.other_organisations_per_ms(call.group, call.asked.organisation, now_ms)
        return fair_rate(kind_per_ms, others)
