"""Quota decisions by the leading controller."""

from __future__ import annotations

from ..quota.messages import AnswerQuota, AskQuota, UsedQuota
from ..quota.quota_client import NoQuotaLeader, QuotaClient
from .fleet_client import FleetClient
from .leader_questions import LeaderLost


class LeaderQuotaClient(QuotaClient):
    """Reports quota use and asks for quota over the gateway's stream to the leader."""

    def __init__(self, fleet: FleetClient) -> None:
        self._fleet = fleet

    @property
    def connected(self) -> bool:
        return self._fleet.connected

    @property
    def isolated(self) -> bool:
        return self._fleet.isolated

    def report_use(self, use: UsedQuota) -> None:
        self._fleet.send(use)

    async def ask_quota(self, organisation: str, units: float) -> AnswerQuota:
        try:
            answer: AnswerQuota = await self._fleet.questions.ask_numbered(
                lambda number: AskQuota(number, organisation, units)
            )
        except LeaderLost as exc:
            raise NoQuotaLeader(str(exc)) from exc
        return answer

    async def until_connected(self, within_ms: float) -> bool:
        return await self._fleet.wait_for_leader(within_ms)
