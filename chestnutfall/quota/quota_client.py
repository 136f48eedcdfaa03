"""A gateway's interface to the leader that keeps the quotas."""

from __future__ import annotations

from abc import ABC, abstractmethod

from .messages import AnswerQuota, UsedQuota


class NoQuotaLeader(ConnectionError):
    """No leader answers, so it is unknown how much of a quota is left."""


class QuotaClient(ABC):
    """Reports the use of quotas to the leader, and asks it about requests."""

    @property
    @abstractmethod
    def connected(self) -> bool:
        """Whether there is a leader, as far as this gateway knows."""

    @property
    @abstractmethod
    def isolated(self) -> bool:
        """Whether no controller answers, so that there may be a leader that others can reach."""

    @abstractmethod
    def report_use(self, use: UsedQuota) -> None:
        """Report the units that passed without asking; dropped if there is no leader."""

    @abstractmethod
    async def ask_quota(self, organisation: str, units: float) -> AnswerQuota:
        """Ask whether a request of `units` may pass.

        Raises
        ------
        NoQuotaLeader
            When no leader answers.
        """

    @abstractmethod
    async def until_connected(self, within_ms: float) -> bool:
        """Wait for a leader; return False if there is none within `within_ms`."""
