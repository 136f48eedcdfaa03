"""Crash reports that the next leader may not have received."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from ..clock import Clock
from ..control.crash_messages import MAX_REPORTS, AnsweredParts, AnsweredRun, BrokenRun, CrashReport

RESEND_WITHIN_MS = 10_000
"""How long reports are sent again. Longer than two elections in a row; a leader that already has a
report ignores the copy."""


class RecentReports:
    """Crash reports of the last `RESEND_WITHIN_MS`, with the time at which they were made."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reports: deque[tuple[int, CrashReport]] = deque(maxlen=MAX_REPORTS)

    def note(self, report: CrashReport) -> None:
        """Keep a report that is made now."""
        self._reports.append((self._clock.now_ms(), report))

    def to_resend(self) -> Iterator[CrashReport]:
        """Yield the reports to send to a new leader, with their ages brought up to date."""
        now_ms = self._clock.now_ms()
        for at_ms, report in self._reports:
            if at_ms < now_ms - RESEND_WITHIN_MS:
                continue
            match report:
                case BrokenRun() | AnsweredParts():
                    yield report.delayed_by(now_ms - at_ms)
                case AnsweredRun():
                    yield report
