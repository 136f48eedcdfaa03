"""The room of plain services as one gateway knows it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from ..clock import Clock
from ..placement import RunOutcome
from ..signals.upstream_load import UpstreamLoad
from .leaderless_room import LeaderlessRoom
from .messages import RoomInForce, RunningCalls, ShortageReport
from .run_time import RunTime
from .shortage_detector import ShortageDetector, shows_shortage

DEFAULT_RUN_MS = 20.0
"""Time of a call before one is known, about that of a short request."""
LEADERLESS_PLENTY_MS = 3_000
"""Without a leader, a service has plenty again after so long without a sign of a shortage."""
ASK_AGAIN_MS = 1_000
"""Time without questions after one that was not answered, unless a leader is found before."""
MAX_SERVICES = 1_024


class KnownRoom:
    """Which services are short, as the leader says, and this gateway's calls at each upstream.

    Parameters
    ----------
    send_report : callable
        Sends a message to the leader; drops it if there is none.
    """

    def __init__(
        self,
        send_report: Callable[[ShortageReport], None],
        leaderless: LeaderlessRoom,
        clock: Clock,
    ) -> None:
        self._send_report = send_report
        self._leaderless = leaderless
        self._clock = clock
        self._detector = ShortageDetector()
        self._short: dict[str, dict[str, int]] = {}
        self._ask_again_ms = 0
        self._pressure_ms: dict[str, int] = {}
        self._running: dict[str, Counter[str]] = {}
        self._run_times: dict[str, RunTime] = {}

    def __len__(self) -> int:
        """Number of services that are short."""
        return len(self._short)

    # What the leader says

    def apply(self, update: RoomInForce) -> None:
        """Apply the services that became short, or have plenty again."""
        self._leaderless.leader_found()
        for state in update.services:
            if state.short:
                self._short[state.service] = state.places
            else:
                self._short.pop(state.service, None)

    def is_short(self, service: str) -> bool:
        """Whether a call to a service needs a turn."""
        if service not in self._short:
            return False
        lost_ms = self._leaderless.lost_ms
        if lost_ms is None:
            return True
        pressure_ms = max(lost_ms, self._pressure_ms.get(service, 0))
        if self._clock.now_ms() - pressure_ms > LEADERLESS_PLENTY_MS:
            del self._short[service]
        return service in self._short

    def reports_for_new_leader(self) -> tuple[RunningCalls, ...]:
        """The calls at services that are short, for a leader that has just started its term."""
        self._leaderless.leader_found()
        return tuple(
            RunningCalls(
                service, dict(self._running.get(service, {})), self._learned_ms(service), places
            )
            for service, places in self._short.items()
        )

    # Without a leader

    def asks_leader(self) -> bool:
        """Whether to ask the leader for turns.

        If only the messages to the leader are lost, its own still arrive. Each question would then
        take all the time of its call.
        """
        return self._leaderless.lost_ms is None or self._clock.now_ms() >= self._ask_again_ms

    def answered(self) -> None:
        """Note that the leader answered a question."""
        self._leaderless.leader_found()

    def unanswered(self) -> None:
        """Note that a question was not answered."""
        self._leaderless.leader_lost()
        self._ask_again_ms = self._clock.now_ms() + ASK_AGAIN_MS

    def may_send_without_leader(self, service: str) -> bool:
        """Whether one more call may be sent to a service that is short."""
        places = sum(self._short.get(service, {}).values())
        running = sum(self._running.get(service, Counter()).values())
        if self._leaderless.may_send(service, places, running, self.run_ms(service)):
            return True
        self._pressure_ms[service] = self._clock.now_ms()
        return False

    # Calls of this gateway

    def run_ms(self, service: str) -> float:
        """Usual time of a call to a service."""
        learned = self._run_times.get(service)
        return learned.mean_ms if learned is not None else DEFAULT_RUN_MS

    def _learned_ms(self, service: str) -> float:
        learned = self._run_times.get(service)
        return learned.learned_ms if learned is not None else 0.0

    def started(self, service: str, instance: str) -> None:
        """Count a call that goes to an upstream."""
        self._running.setdefault(service, Counter())[instance] += 1

    def ended(
        self,
        service: str,
        instance: str,
        outcome: RunOutcome,
        load: UpstreamLoad | None,
        run_ms: float,
    ) -> None:
        """Count the end of a call, learn its time, and report a shortage that it shows."""
        self._end(service, instance)
        if load is not None:
            self._run_time(service)
        if service not in self._run_times:
            return  # no upstream of it has reported a load
        if outcome is RunOutcome.DONE:
            self._run_times[service].note(run_ms / (load.slowdown if load is not None else 1.0))
        now_ms = self._clock.now_ms()
        if outcome is RunOutcome.FULL or (load is not None and shows_shortage(load)):
            self._pressure_ms[service] = now_ms
        if service in self._short:
            return  # the end of its turn tells the leader the same
        learned_ms = self._run_times[service].learned_ms
        report = self._detector.report(service, instance, outcome, load, learned_ms, now_ms)
        if report is not None:
            self._send_report(report)

    def _end(self, service: str, instance: str) -> None:
        running = self._running[service]
        running[instance] -= 1
        if not running[instance]:
            del running[instance]
        if not running:
            del self._running[service]

    def _run_time(self, service: str) -> RunTime:
        if service not in self._run_times:
            if len(self._run_times) >= MAX_SERVICES:
                gone = next(iter(self._run_times))
                del self._run_times[gone]
                self._pressure_ms.pop(gone, None)
            self._run_times[service] = RunTime(DEFAULT_RUN_MS)
        return self._run_times[service]
