"""What gateways observe of upstreams, as far as it concerns all gateways."""

from __future__ import annotations

import logging
from dataclasses import replace

from ..clock import Clock
from ..control.crash_messages import BrokenRun, CrashReport
from ..control.crash_monitor import CrashMonitor
from ..placement import RunOutcome
from ..placement.placer import Placer
from ..placement.run_times import RunTimes
from .upstream_tracker import UpstreamTracker

log = logging.getLogger(__name__)
REPORT_DELAY_MS = 100
"""An answer that ended before its engine did is reported so soon, on a busy gateway too."""
MAX_ANSWERED = 8_192
"""Engines of which the time of the last answer is kept."""


class GatewayObservations:
    """Passes the ends of sends to placement, and what they show of upstreams to the tracker."""

    def __init__(
        self, placer: Placer, upstreams: UpstreamTracker, crashes: CrashMonitor, clock: Clock
    ) -> None:
        self._placer = placer
        self._upstreams = upstreams
        self._crashes = crashes
        self._clock = clock
        self._answered_ms: dict[str, int] = {}

    def released(self, gateway: str, ticket: str, outcome: RunOutcome, times: RunTimes) -> None:
        """Process the end of a send to an engine."""
        instance = self._placer.instance_of(ticket)
        if outcome in (RunOutcome.UNREACHABLE, RunOutcome.NO_PATH):
            self._upstreams.unreachable(instance, gateway)
        elif outcome is RunOutcome.DONE and instance:
            # An engine that gateways reach serves, even if it is cut off from the controllers.
            self._upstreams.answered(instance)
            self._note_answered(instance)
        self._release(gateway, instance, ticket, outcome, times)

    def _release(
        self, gateway: str, instance: str, ticket: str, outcome: RunOutcome, times: RunTimes
    ) -> None:
        was_ejected = self._is_ejected(instance)
        self._placer.release(ticket, outcome, times)
        if self._is_ejected(instance) and not was_ejected:
            log.info(
                "engine: ejected instance=%s gateway=%s outcome=%s",
                instance,
                gateway,
                outcome.value,
            )

    def _is_ejected(self, instance: str) -> bool:
        engine = self._placer.engines.get(instance)
        return engine is not None and engine.is_ejected(self._clock.now_ms())

    def told_suspects(self, parts: tuple[str, ...]) -> None:
        """Process the prompt parts that a gateway knows to be suspect."""
        self._crashes.told_suspects(parts)

    def reported(self, gateway: str, report: CrashReport) -> None:
        """Process a report of a broken or a complete answer."""
        if isinstance(report, BrokenRun) and report.refuses and self._has_answered_since(report):
            log.info("crashes: no end of instance=%s, seen by gateway=%s", report.instance, gateway)
            report = replace(report, refuses=False)
        self._crashes.handle_report(report)
        if isinstance(report, BrokenRun) and report.refuses:
            self._upstreams.ended(report.instance, gateway)

    def _note_answered(self, instance: str) -> None:
        self._answered_ms.pop(instance, None)
        self._answered_ms[instance] = self._clock.now_ms()
        if len(self._answered_ms) > MAX_ANSWERED:
            del self._answered_ms[next(iter(self._answered_ms))]

    def _has_answered_since(self, report: BrokenRun) -> bool:
        """Whether any gateway had an answer of an engine well after one of its answers broke off.

        Two gateways that are cut off see its port closed as well. If that counted, all gateways
        would lose an engine that serves the others.
        """
        broke_ms = self._clock.now_ms() - report.broke_ago_ms
        return self._answered_ms.get(report.instance, broke_ms) > broke_ms + REPORT_DELAY_MS
