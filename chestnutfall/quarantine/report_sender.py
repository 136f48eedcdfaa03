"""Delivery of crash reports to the leading controller."""

from __future__ import annotations

import asyncio
import logging

from ..control.control_client import ControlClient, NoController
from ..control.crash_messages import MAX_REPORTS, CrashReport

log = logging.getLogger(__name__)
REPORT_MS = 10_000
"""How long delivery of a report is retried; longer than two elections in a row."""


class ReportSender:
    """Sends crash reports in the background, each until a leader accepts it or its time is over."""

    def __init__(self, client: ControlClient) -> None:
        self._client = client
        self._sending: set[asyncio.Task[None]] = set()

    def send(self, report: CrashReport) -> None:
        """Send a report in the background; it is dropped if `MAX_REPORTS` are already waiting."""
        if len(self._sending) >= MAX_REPORTS:
            log.warning("quarantine: %d reports are waiting, a new one is dropped", MAX_REPORTS)
            return
        task = asyncio.ensure_future(self._deliver(report))
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    async def _deliver(self, report: CrashReport) -> None:
        try:
            await self._client.ask(report, REPORT_MS)
        except NoController as exc:
            log.warning("quarantine: no controller accepted %s: %s", report, exc)
