"""Room of one plain service, given out by the leader while it is short."""

from __future__ import annotations

import statistics
from collections.abc import Collection, Mapping
from typing import Generic, TypeVar

from ..placement import RunOutcome
from ..placement.upstream_health import FAILURE_COST_MS
from ..signals.upstream_load import UpstreamLoad
from .messages import EndTurn, ShortageReport
from .room_ledger import RoomLedger
from .run_time import RunTime
from .service_shortage import ServiceShortage
from .upstream_room import UpstreamRoom

DEFAULT_RUN_MS = 50.0
"""Time of a call before one is known."""
CREDIT_SLACK_MS = 200
"""Added to the time that a call has left; its gateway gives the place back before that."""
RUNS_TO_END = 3
"""Times the usual run after which calls of a gateway that can't be heard have ended."""
NEW_TERM_MS = 500
"""Time in which gateways join a new leader and say what they have running."""
NEW_TERM_FRACTION = 0.5
"""Part of the room given out until then."""
FOREIGN_FRESH_MS = 300
"""How long calls count that nobody asked a turn for, as an upstream's load shows them."""
UNSAFE_FAILURE_WEIGHT = 4.0
"""How much more a failure counts for a call that may run only once: its caller loses the answer,
where another call costs a second send."""

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
        self._rooms: dict[str, UpstreamRoom] = {}
        self._foreign: dict[str, tuple[int, int]] = {}
        self._ledger: RoomLedger[Gateway] = RoomLedger()
        self._run_time = RunTime(DEFAULT_RUN_MS)

    # What is known

    def set_serving(self, instances: Collection[str]) -> None:
        """Set the upstreams that serve now."""
        present = set(instances)
        self._rooms = {
            one: self._rooms[one] if one in self._rooms else UpstreamRoom() for one in instances
        }
        self._foreign = {name: one for name, one in self._foreign.items() if name in present}
        self._ledger.forget_absent(present)

    def note_shortage(self, report: ShortageReport, now_ms: int) -> None:
        """Record that a gateway found an upstream without room."""
        room = self._rooms.get(report.instance)
        if room is None:
            return
        self._run_time.suggest(report.run_ms)
        if report.load is not None:
            room.note_load(report.load, now_ms)
            places = sum(self.places(now_ms).values())
            self.shortage.note_waiting(report.instance, report.load.waiting, places, now_ms)
        if report.refused:
            room.note_outcome(RunOutcome.FULL, now_ms)
            self.shortage.begin(now_ms)

    def note_running(
        self, gateway: Gateway, running: Mapping[str, int], run_ms: float, now_ms: int
    ) -> None:
        """Record the calls that a gateway sent without a turn of this leader."""
        self._run_time.suggest(run_ms)
        bounded = {
            one: min(count, self._rooms[one].places(now_ms))
            for one, count in running.items()
            if one in self._rooms
        }
        self._ledger.set_running(gateway, bounded, now_ms + self._ends_within_ms())
        self.shortage.begin(now_ms)

    def places(self, now_ms: int) -> dict[str, int]:
        """Calls that each upstream runs at once; of those that report none, a typical number."""
        known = {n: one.places(now_ms) for n, one in self._rooms.items() if one.known}
        typical = int(statistics.median(known.values())) if known else 1
        return {name: known.get(name, typical) for name in self._rooms}

    @property
    def run_ms(self) -> float:
        """Time in which most calls end."""
        return self._run_time.cautious_ms

    def _ends_within_ms(self) -> float:
        return RUNS_TO_END * self.run_ms + CREDIT_SLACK_MS

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
        starting = now_ms - self._began_ms < NEW_TERM_MS
        free: dict[str, int] = {}
        for name, places in self.places(now_ms).items():
            room = self._rooms[name]
            run_ms = self._run_time.mean_ms * room.slowdown(now_ms)
            whole = places + room.margin(run_ms, now_ms)
            whole = int(whole * NEW_TERM_FRACTION) if starting else whole
            left = whole - self._ledger.used(name) - self._foreign_at(name, now_ms)
            if left > 0:
                free[name] = left
        return free

    def cost_ms(self, instance: str, idempotent: bool, now_ms: int) -> float:
        """Expected time until a call at an upstream has its answer, failures included."""
        room = self._rooms[instance]
        there = self._ledger.used(instance) + self._foreign_at(instance, now_ms)
        run_ms = self._run_time.mean_ms * room.slowdown(now_ms)
        busy_ms = run_ms * (1 + there / room.places(now_ms))
        weight = 1.0 if idempotent else UNSAFE_FAILURE_WEIGHT
        return busy_ms + weight * FAILURE_COST_MS * room.failure(now_ms)

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
            outcome = RunOutcome(msg.outcome)
            room.note_outcome(outcome, now_ms)
            if outcome is RunOutcome.DONE:
                self._run_time.note(msg.run_ms)
            if msg.load is not None:
                self._note_load(msg.instance, room, msg.load, now_ms)
        self._ledger.end(gateway, msg.number, msg.instance)

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
        self._ledger.shorten(gateway, now_ms + self._ends_within_ms())

    def note_use(self, waiting: int, now_ms: int) -> None:
        """Decide whether the service has plenty of room again."""
        self._ledger.expire(now_ms)
        used = len(self._ledger) + sum(self._foreign_at(one, now_ms) for one in self._rooms)
        self.shortage.note_use(used, waiting, sum(self.places(now_ms).values()), now_ms)

    def use(self, now_ms: int) -> tuple[int, int]:
        """Places that calls hold, and places of all upstreams."""
        return len(self._ledger), sum(self.places(now_ms).values())
