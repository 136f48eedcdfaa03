"""Reports of one engine, read with regard to their delay."""

from __future__ import annotations

import logging

from ..clock import Clock
from ..control.upstream_record import UpstreamRecord
from ..placement import AdapterName, EngineReport
from .engine_control import EngineControl

log = logging.getLogger(__name__)
MAX_REPORT_RETRY_MS = 4_000
"""Longest interval of report attempts while an engine is down; it announces itself when it is
back."""
REPORT_RETRY_MS = 500
"""Reports lag by about 100 ms and each costs a request; engines that need a resync are rare."""
MAX_DROP_POLLS = 20
"""Four seconds; most requests end within one."""
REPORT_LAG_MS = 200
"""A report shows the engine's state about 100 ms ago; one that is read earlier than this after an
order may not include it."""


class ReportReader:
    """Reads the reports of one incarnation of an engine.

    Parameters
    ----------
    record : UpstreamRecord
        Incarnation of the engine.
    """

    def __init__(self, record: UpstreamRecord, control: EngineControl, clock: Clock) -> None:
        self._record = record
        self._control = control
        self._clock = clock

    async def read(self) -> EngineReport | None:
        """Return the engine's report; None if it gives none or restarted."""
        try:
            report = await self._control.report(self._record)
        except ConnectionError as exc:
            log.warning("orders: instance=%s no report: %s", self._record.instance, exc)
            return None
        if report.started_ms != self._record.started_ms:
            # The engine restarted under the same name and has not announced that yet. It lost its
            # adapters, and its order count started again. If the new count were taken for the old
            # one, one load too many could be ordered, which crashes the engine.
            log.info(
                "orders: instance=%s restarted at %d", self._record.instance, report.started_ms
            )
            return None
        return report

    async def read_settled(self, ordered_ms: int, orders_taken: int) -> EngineReport:
        """Return a report that includes the last order, however long the engine gives none.

        Parameters
        ----------
        ordered_ms : int
            Clock time at which the last order was sent.
        orders_taken : int
            Number of orders that the engine has taken, as far as known.
        """
        read_twice = False
        retry_ms = REPORT_RETRY_MS
        while True:
            wait_ms = ordered_ms + REPORT_LAG_MS - self._clock.now_ms()
            if wait_ms > 0:
                await self._clock.sleep_ms(wait_ms)
            report = await self.read()
            if report is None:
                await self._clock.sleep_ms(retry_ms)
                retry_ms = min(2 * retry_ms, MAX_REPORT_RETRY_MS)
                continue
            if report.orders_taken < orders_taken and not read_twice:
                # The report may be older than the last order and show occupied slots as free. If a
                # second report has the same count, it is right: an unload that had nothing to drop
                # is answered like one that was taken, but not counted.
                read_twice = True
                await self._clock.sleep_ms(REPORT_LAG_MS)
                continue
            return report

    async def wait_until_dropped(self, adapter: AdapterName) -> bool:
        """Wait until the engine has dropped an adapter; return whether it has, in time."""
        for _ in range(MAX_DROP_POLLS):
            await self._clock.sleep_ms(REPORT_LAG_MS)
            report = await self.read()
            if report is not None and adapter not in report.adapters:
                return True
        return False
