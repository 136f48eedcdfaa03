"""The leading controller as keeper of callers' rates."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from ..clock import Clock
from ..control.control_client import ControlClient, NoController
from ..quota.messages import AnswerQuota, AskQuota, QuotaNews, UsedQuota
from ..quota.quota_client import NoQuotaLeader, QuotaClient

log = logging.getLogger(__name__)
ASK_MS = 300
"""A leader answers in some ms; a caller doesn't wait for an election to hear of its rate."""
TELL_MS = 2_000
LOOK_AGAIN_MS = 200
"""How soon a gateway learns that a caller has plenty again."""


class ControlQuotaLine(QuotaClient):
    """Tells and asks by calls to the controllers.

    Attributes
    ----------
    on_news : callable
        Told which callers are short, with each answer to what was told.
    """

    def __init__(self, client: ControlClient, clock: Clock) -> None:
        self._client = client
        self._clock = clock
        self._connected = True
        self._told_ms = clock.now_ms()
        self._sending: set[asyncio.Task[None]] = set()
        self.on_news: Callable[[QuotaNews], None] = lambda news: None

    @property
    def connected(self) -> bool:
        return self._connected

    @property
    def isolated(self) -> bool:
        # A controller that doesn't lead says where to ask, and the client goes there by itself.
        return not self._connected

    def report_use(self, use: UsedQuota) -> None:
        self._told_ms = self._clock.now_ms()
        task = asyncio.ensure_future(self._tell(use))
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    async def _tell(self, use: UsedQuota) -> None:
        try:
            answer = await self._client.ask(use, TELL_MS)
        except NoController as exc:
            self._connected = False
            log.warning("quota: no controller took %d uses: %s", len(use.uses), exc)
            return
        self._connected = True
        if isinstance(answer, QuotaNews):
            self.on_news(answer)

    async def ask_quota(self, organisation: str, units: float) -> AnswerQuota:
        try:
            answer = await self._client.ask(AskQuota(0, organisation, units), ASK_MS)
        except NoController as exc:
            self._connected = False
            raise NoQuotaLeader(str(exc)) from exc
        if not isinstance(answer, AnswerQuota):
            raise NoQuotaLeader(f"not an answer: {answer}")
        # Nobody is told of plenty unasked here, and who only asks would ask for ever.
        if self._clock.now_ms() >= self._told_ms + LOOK_AGAIN_MS:
            self.report_use(UsedQuota(()))
        return answer

    async def until_connected(self, within_ms: float) -> bool:
        await self._clock.sleep_ms(min(within_ms, ASK_MS))
        return True
