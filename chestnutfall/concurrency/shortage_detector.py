"""When a gateway tells the leader that a service may be short of room."""

from __future__ import annotations

from ..placement import RunOutcome
from ..signals.upstream_load import UpstreamLoad
from .messages import ShortageReport

REPORT_INTERVAL_MS = 100
"""Least time between two reports of a gateway about one service."""
WAITING_FRACTION = 0.5
"""An upstream with so many waiting calls per place is reported; a call there waits half of a run
or more."""
MAX_SERVICES = 1_024


class ShortageDetector:
    """Finds answers that show a shortage, and limits the rate of reports."""

    def __init__(self) -> None:
        self._due_ms: dict[str, int] = {}

    def report(
        self,
        service: str,
        instance: str,
        outcome: RunOutcome,
        load: UpstreamLoad | None,
        run_ms: float,
        now_ms: int,
    ) -> ShortageReport | None:
        """Return the report that an answer calls for; None if it shows no shortage.

        A service that never reports a load has no known room, and is not reported.
        """
        refused = outcome is RunOutcome.FULL
        if not refused and (load is None or not shows_shortage(load)):
            return None
        if now_ms < self._due_ms.get(service, now_ms):
            return None
        self._due_ms.pop(service, None)
        self._due_ms[service] = now_ms + REPORT_INTERVAL_MS
        if len(self._due_ms) > MAX_SERVICES:
            del self._due_ms[next(iter(self._due_ms))]
        return ShortageReport(service, instance, load, refused, run_ms)


def shows_shortage(load: UpstreamLoad) -> bool:
    """Whether calls wait at an upstream for more than half of a run."""
    return load.waiting >= max(WAITING_FRACTION * load.max_running, 1)
