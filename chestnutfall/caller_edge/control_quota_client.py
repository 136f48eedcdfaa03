"""Calls to the leading controller, which keeps the quotas of callers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from ..clock import Clock
from ..control.control_client import ControlClient, NoController
from ..quota.messages import AnswerQuota, AskQuota, QuotaNews, UsedQuota
from ..quota.quota_client import NoQuotaLeader, QuotaClient

log = logging.getLogger(__name__)
ASK_TIMEOUT_MS = 300
"""A leader answers within a few ms; a caller does not wait for an election to learn its rate."""
REPORT_TIMEOUT_MS = 2_000
SHORTAGE_REFRESH_MS = 200
"""A gateway that asks the leader sends an empty report if its last report is this old."""


class ControlQuotaClient(QuotaClient):
    """Reports and asks for quota by calls to the controllers.

    Attributes
    ----------
    on_quotas : callable
        Called with the `QuotaNews` that answers each report; it lists the callers that are short
        of quota.
    """

    def __init__(self, client: ControlClient, clock: Clock) -> None:
        self._client = client
        self._clock = clock
        self._connected = True
        self._reported_ms = clock.now_ms()
        self._sending: set[asyncio.Task[None]] = set()
        self.on_quotas: Callable[[QuotaNews], None] = lambda update: None

    @property
    def connected(self) -> bool:
        return self._connected

    @property
    def isolated(self) -> bool:
        # There is no third state: a controller that does not lead names the leader, and the client
        # follows it by itself.
        return not self._connected

    def report_use(self, use: UsedQuota) -> None:
        self._reported_ms = self._clock.now_ms()
        task = asyncio.ensure_future(self._send_report(use))
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    async def _send_report(self, use: UsedQuota) -> None:
        try:
            answer = await self._client.ask(use, REPORT_TIMEOUT_MS)
        except NoController as exc:
            self._connected = False
            log.warning("quota: no controller accepted a report of %d uses: %s", len(use.uses), exc)
            return
        self._connected = True
        if isinstance(answer, QuotaNews):
            self.on_quotas(answer)

    async def ask_quota(self, organisation: str, units: float) -> AnswerQuota:
        try:
            answer = await self._client.ask(AskQuota(0, organisation, units), ASK_TIMEOUT_MS)
        except NoController as exc:
            self._connected = False
            raise NoQuotaLeader(str(exc)) from exc
        if not isinstance(answer, AnswerQuota):
            raise NoQuotaLeader(f"unexpected reply to a quota question: {answer}")
        # Controllers list the callers that are short of quota only in reply to a report. A gateway
        # whose requests are all asked for has nothing to report, and would never learn that a
        # caller has plenty of quota again, so it sends an empty report.
        if self._clock.now_ms() >= self._reported_ms + SHORTAGE_REFRESH_MS:
            self.report_use(UsedQuota(()))
        return answer

    async def until_connected(self, within_ms: float) -> bool:
        await self._clock.sleep_ms(min(within_ms, ASK_TIMEOUT_MS))
        return True
