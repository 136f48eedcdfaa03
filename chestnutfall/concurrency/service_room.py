"""Room of one plain service, given out by the leader while it is short."""

from __future__ import annotations

import itertools
import math
import statistics
from collections import deque
from collections.abc import Collection, Mapping
from typing import Generic, TypeVar

from ..placement import RunOutcome
from ..signals.upstream_load import UpstreamLoad
from .messages import EndTurn, RunningCalls, ShortageReport
from .room_ledger import RoomLedger
from .run_time import RunTime
from .service_shortage import ServiceShortage
from .upstream_room import UpstreamRoom, margin

DEFAULT_RUN_MS = 50.0
"""Time of a call before one is known."""
CREDIT_SLACK_MS = 200
"""Added to the time that a call has left; its gateway gives the place back before that."""
RUNS_TO_END = 3
"""Times the usual run after which calls of a gateway that can't be heard have ended."""
NEW_TERM_MS = 500
"""Time in which gateways join a new leader and say what they have running at services that were
short under the last one."""
NEW_TERM_FRACTION = 0.5
"""Part of the room given out until then."""
MAX_REPORTED = 64
"""Calls of one gateway at one upstream that are counted; bounds memory."""
FOREIGN_FRESH_MS = 300
"""How long calls count that nobody asked a turn for, as an upstream's load shows them."""
MAX_UNSAFE_FAILURE = 0.15
"""An upstream that fails so many more calls than the best one of its service gets none that may run
only once: its caller would lose the answer, where another call is sent again."""
FAILURE_COST_RUNS = 10.0
"""Usual runs that a failed call costs its caller: the run, and another send behind others."""
REJECTION_WINDOW_MS = 1_000
"""Upstreams that bear few rejections count them within a second."""
REJECTION_RESERVE = 1
"""Rejections kept back for calls that are on their way when one is rejected."""
USE_INTERVAL_MS = 50
"""How often it is checked whether there is plenty of room again."""

Gateway = TypeVar("Gateway")


class ServiceRoom(Generic[Gateway]):
    """Upstreams of one service, their room, and the places that calls hold there.

    Attributes
    ----------
    shortage : ServiceShortage
        Whether the room is given out.
    """

    def __init__(self, began_ms: int) -> None:
        self.shortage = ServiceShortage()
        self._began_ms = began_ms
        self._was_short = False
        self._rooms: dict[str, UpstreamRoom] = {}
        self._foreign: dict[str, tuple[int, int]] = {}
        self._ledger: RoomLedger[Gateway] = RoomLedger()
        self._run_time = RunTime(DEFAULT_RUN_MS)
        self._rejections: Mapping[str, int] = {}
        self._rejected_ms: dict[str, deque[int]] = {}
        self._places: tuple[int, dict[str, int]] | None = None
        self._use_noted_ms = began_ms
        self._failed = itertools.count(-1, -1)

    # What is known

    def set_serving(self, instances: Collection[str]) -> None:
        """Set the upstreams that serve now."""
        present = set(instances)
        self._places = None
        self._rooms = {
            one: self._rooms[one] if one in self._rooms else UpstreamRoom() for one in instances
        }
        self._foreign = {name: one for name, one in self._foreign.items() if name in present}
        self._rejected_ms = {n: times for n, times in self._rejected_ms.items() if n in present}
        self._ledger.forget_absent(present)

    def set_rejections(self, per_s: Mapping[str, int]) -> None:
        """Set the upstreams that end if they reject more than so many calls within a second."""
        self._rejections = per_s

    def _bears_few(self) -> bool:
        return any(room.known and name in self._rejections for name, room in self._rooms.items())

    def note_shortage(self, report: ShortageReport, now_ms: int) -> None:
        """Record that a gateway found an upstream without room."""
        room = self._rooms.get(report.instance)
        if room is None:
            return
        self._places = None
        self._run_time.suggest(report.run_ms)
        if report.load is not None:
            room.note_load(report.load, now_ms)
            places = sum(self.places(now_ms).values())
            self.shortage.note_waiting(report.instance, report.load.waiting, places, now_ms)
        if report.refused:
            room.note_outcome(RunOutcome.FULL, now_ms)
            self.shortage.begin(now_ms)

    def note_running(self, gateway: Gateway, report: RunningCalls, now_ms: int) -> None:
        """Record the calls that a gateway sent without a turn of this leader.

        A new leader may not know yet which upstreams serve.
        """
        self._run_time.suggest(report.run_ms)
        for instance, places in report.places.items():
            if instance in self._rooms:
                self._rooms[instance].suggest(places)
        self._places = None
        bounded = {one: min(count, MAX_REPORTED) for one, count in report.running.items()}
        self._ledger.set_running(gateway, bounded, now_ms + self._ends_within_ms(now_ms))
        self._was_short = True
        self.shortage.begin(now_ms)

    def places(self, now_ms: int) -> dict[str, int]:
        """Calls that each upstream runs at once; of those that report none, a typical number."""
        if self._places is None or self._places[0] != now_ms:
            self._places = now_ms, self._all_places(now_ms)
        return self._places[1]

    def _all_places(self, now_ms: int) -> dict[str, int]:
        known = {n: one.places(now_ms) for n, one in self._rooms.items() if one.known}
        typical = int(statistics.median(known.values())) if known else 1
        # An upstream that fails more calls than others gets fewer of them. One that is slow at this
        # moment keeps its places, which others can't replace where all are in use.
        return {
            name: math.ceil(known.get(name, typical) * (1 - self.excess_failure(name, now_ms)))
            for name in self._rooms
        }

    def least_slowdown(self, now_ms: int) -> float:
        """How many times as long as usual calls take at the quickest upstream."""
        return min((one.slowdown(now_ms) for one in self._rooms.values()), default=1.0)

    def excess_failure(self, instance: str, now_ms: int) -> float:
        """How many more of its calls an upstream fails than the best one of its service."""
        best = min(one.failures.at(now_ms) for one in self._rooms.values())
        return self._rooms[instance].failures.at(now_ms) - best

    @property
    def run_time(self) -> RunTime:
        """Times of calls at upstreams that aren't slowed, without the time in their queues."""
        return self._run_time

    def _ends_within_ms(self, now_ms: int) -> float:
        slowdown = max((one.slowdown(now_ms) for one in self._rooms.values()), default=1.0)
        return RUNS_TO_END * self._run_time.usual_ms * slowdown

    # What is given out

    def per_ms(self, now_ms: int) -> dict[str, float]:
        """Calls per ms that each upstream can run."""
        return {
            name: places / self._run_time.mean_ms / self._rooms[name].slowdown(now_ms)
            for name, places in self.places(now_ms).items()
        }

    def free(self, now_ms: int) -> dict[str, int]:
        """Number of calls that may be sent to each upstream now, if any."""
        self._ledger.expire(now_ms)
        starting = self._was_short and now_ms - self._began_ms < NEW_TERM_MS
        free: dict[str, int] = {}
        for name, places in self.places(now_ms).items():
            room = self._rooms[name]
            run_ms = self._run_time.mean_ms * room.slowdown(now_ms)
            whole = places if name in self._rejections else places + margin(places, run_ms)
            whole = int(whole * NEW_TERM_FRACTION) if starting else whole
            left = whole - self._ledger.used(name) - self._foreign_at(name, now_ms)
            if left > 0 and self._leaves_rejections(name, now_ms):
                free[name] = left
        return free

    def _leaves_rejections(self, instance: str, now_ms: int) -> bool:
        """Whether an upstream that bears few rejections has some left within this second."""
        per_s = self._rejections.get(instance)
        times = self._rejected_ms.get(instance)
        if per_s is None or not times:
            return True
        while times and times[0] <= now_ms - REJECTION_WINDOW_MS:
            times.popleft()
        return not times or len(times) < max(per_s - REJECTION_RESERVE, 1)

    def may_take(self, instance: str, idempotent: bool, now_ms: int) -> bool:
        """Whether an upstream should get a call, as far as it fails more than others."""
        return idempotent or self.excess_failure(instance, now_ms) <= MAX_UNSAFE_FAILURE

    def cost_ms(self, instance: str, now_ms: int) -> float:
        """Expected time until a call at an upstream has its answer, failures included."""
        room = self._rooms[instance]
        there = self._ledger.used(instance) + self._foreign_at(instance, now_ms)
        run_ms = self._run_time.mean_ms * room.slowdown(now_ms)
        failed_runs = FAILURE_COST_RUNS * self.excess_failure(instance, now_ms)
        return run_ms * (1 + there / self.places(now_ms)[instance] + failed_runs)

    def give(
        self, gateway: Gateway, number: int, instance: str, left_ms: float, now_ms: int
    ) -> None:
        """Give a place to a call that has `left_ms` until its deadline."""
        until_ms = now_ms + left_ms + CREDIT_SLACK_MS
        self._ledger.take(gateway, number, instance, until_ms)

    def end(self, gateway: Gateway, msg: EndTurn, now_ms: int) -> None:
        """Take back the place of a call, and learn from how it ended."""
        room = self._rooms.get(msg.instance)
        if room is not None:
            self._places = None
            outcome = RunOutcome(msg.outcome)
            room.note_outcome(outcome, now_ms)
            if outcome is RunOutcome.FULL and msg.instance in self._rejections:
                self._rejected_ms.setdefault(msg.instance, deque()).append(now_ms)
            if outcome is RunOutcome.DONE:
                slowdown = msg.load.slowdown if msg.load is not None else room.slowdown(now_ms)
                # Where more calls are there than places, each one's time holds a wait.
                there = max(self._ledger.used(msg.instance), 1)
                run_ms = msg.run_ms * min(room.places(now_ms) / there, 1.0)
                self._run_time.note(run_ms / slowdown)
            if msg.load is not None:
                self._note_load(msg.instance, room, msg.load, now_ms)
        self._ledger.end(gateway, msg.number, msg.instance)
        if room is not None and msg.outcome == RunOutcome.BROKEN.value:
            # An upstream that fails calls at once would have free places all the time, and get
            # most calls of a service that is short of room.
            until_ms = now_ms + self._run_time.mean_ms
            self._ledger.take(gateway, next(self._failed), msg.instance, until_ms)

    def _note_load(
        self, instance: str, room: UpstreamRoom, load: UpstreamLoad, now_ms: int
    ) -> None:
        room.note_load(load, now_ms)
        # The place of the call that ended still counts, and so does the call in the load.
        foreign = load.running + load.waiting - self._ledger.used(instance)
        self._foreign[instance] = min(max(foreign, 0), room.places(now_ms)), now_ms

    def _foreign_at(self, instance: str, now_ms: int) -> int:
        count, at_ms = self._foreign.get(instance, (0, -FOREIGN_FRESH_MS))
        return count if now_ms - at_ms < FOREIGN_FRESH_MS else 0

    def drop_gateway(self, gateway: Gateway, now_ms: int) -> None:
        """Let the places of a gateway whose session ended expire when its calls have ended."""
        self._ledger.shorten(gateway, now_ms + self._ends_within_ms(now_ms))

    def note_use(self, waiting: int, now_ms: int) -> None:
        """Decide whether the service has plenty of room again.

        Gateways that choose by themselves can't keep an upstream from rejecting calls, so the room
        of a service is given out as long as one of its upstreams bears few rejections.
        """
        if self._bears_few():
            self.shortage.begin(now_ms)
        if not self.shortage.short or now_ms - self._use_noted_ms < USE_INTERVAL_MS:
            return
        self._use_noted_ms = now_ms
        self._ledger.expire(now_ms)
        used = len(self._ledger) + sum(self._foreign_at(one, now_ms) for one in self._rooms)
        self.shortage.note_use(used, waiting, sum(self.places(now_ms).values()), now_ms)

    def use(self, now_ms: int) -> tuple[int, int]:
        """Places that calls hold, and places of all upstreams."""
        return len(self._ledger), sum(self.places(now_ms).values())
