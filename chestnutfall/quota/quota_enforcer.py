"""Enforcement of quotas at one gateway."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

from ..clock import Clock
from ..routes import Organisation, Quota
from ..settings.quota_bounds import QuotaBounds
from .leaderless_share import LeaderlessShare
from .messages import OrganisationUse, QuotaNews, UsedQuota, WasShort
from .quota_client import NoQuotaLeader, QuotaClient

log = logging.getLogger(__name__)
MAX_UNREPORTED_FRACTION = 0.25
"""Fraction of the burst, and of the spare units, that all gateways together may have admitted
without a report to the leader."""
REPORT_INTERVAL_MS = 200
"""Short compared with a window; a gateway with little to report sends five messages per second."""
LEADER_WAIT_MS = 1_500
"""An election takes about a second; a request waits this long for it if it has the time."""
ANSWER_TIMEOUT_MS = 300
"""A leader answers at once; gateways soon disconnect from one that does not."""
NO_LEADER_RETRY_MS = 800
"""Retry time of callers that are refused without a leader; one is elected within this time."""
MAX_SHARES = 4_096
"""Organisations that one gateway keeps; those used most recently stay."""


class OverQuota(Exception):
    """The request is over its organisation's quota, or no leader can decide; nothing ran.

    Attributes
    ----------
    retry_after_ms : int
        Time after which it may pass.
    is_used_up : bool
        Whether the quota is known to be used up; False if no leader answers.
    """

    def __init__(self, retry_after_ms: int, is_used_up: bool) -> None:
        super().__init__(f"over the quota, retry in {retry_after_ms} ms")
        self.retry_after_ms = retry_after_ms
        self.is_used_up = is_used_up


@dataclass(frozen=True, slots=True)
class Charge:
    """Units of an organisation's quota that an admitted request used."""

    organisation: str
    units: float


class QuotaEnforcer:
    """Admits requests by the leader's latest news of which organisations are short.

    A request of an organisation with plenty left is admitted at once and reported afterwards. For
    one of a short organisation the leader is asked first. While no leader answers, the gateway
    admits requests by its own `LeaderlessShare` of each quota.

    Parameters
    ----------
    gateways : callable
        Returns the number of gateways that share the quotas.
    """

    def __init__(
        self,
        client: QuotaClient,
        gateways: Callable[[], int],
        bounds: QuotaBounds,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._client = client
        self._gateways = gateways
        self._bounds = bounds
        self._clock = clock
        self._rng = rng
        self._short: frozenset[str] = frozenset()
        self._unreported: dict[str, float] = {}
        self._shares: dict[str, LeaderlessShare] = {}
        self._last_contact_ms = clock.now_ms()

    def apply(self, update: QuotaNews) -> None:
        """Apply news from the leader."""
        before = frozenset[str]() if update.whole else self._short
        self._short = (before | frozenset(update.short)) - frozenset(update.plenty)

    def shortage_report(self) -> WasShort:
        """Return the organisations that are short, for a leader that has just started its term."""
        return WasShort(tuple(sorted(self._short)))

    async def admit(self, organisation: Organisation, tokens: int | None, until_ms: int) -> Charge:
        """Admit a request, and count its units.

        Parameters
        ----------
        tokens : int or None
            Tokens that the request declares; None if it declares none.
        until_ms : int
            Clock time until which the request can wait.

        Raises
        ------
        OverQuota
            When the quota is used up, or no leader answers in time and this gateway's own share
            is used up.
        """
        quota = organisation.quota
        charge = Charge(organisation.name, quota.cost(tokens))
        if not quota.limited:
            return charge
        give_up_ms = min(self._clock.now_ms() + LEADER_WAIT_MS, until_ms)
        while True:
            if self._client.connected and charge.organisation not in self._short:
                self._admit_and_count(charge, quota)
                return charge
            try:
                await self._ask_leader(charge)
                return charge
            except (NoQuotaLeader, TimeoutError):
                if await self._admit_without_leader(charge, quota, give_up_ms):
                    return charge

    def give_back(self, charge: Charge, quota: Quota) -> None:
        """Give back the units of an admitted request that never ran."""
        if quota.limited:
            self._note(charge.organisation, -charge.units)
            self._add_unreported(charge.organisation, -charge.units)

    async def run(self) -> None:
        """Report the use every `REPORT_INTERVAL_MS`, until cancelled."""
        while True:
            await self._clock.sleep_ms(REPORT_INTERVAL_MS)
            self.report_use()

    def report_use(self) -> None:
        """Report the units admitted since the last report to the leader."""
        if self._client.connected:
            self._last_contact_ms = self._clock.now_ms()
        if self._unreported:
            uses = tuple(OrganisationUse(name, units) for name, units in self._unreported.items())
            self._unreported = {}
            self._client.report_use(UsedQuota(uses))

    def _admit_and_count(self, charge: Charge, quota: Quota) -> None:
        self._note(charge.organisation, charge.units)
        self._add_unreported(charge.organisation, charge.units)
        # This keeps the units that all gateways together have not reported yet within the spare
        # units, through however many gateways an organisation sends at once.
        spare = min(self._bounds.spare(quota), quota.burst)
        most = MAX_UNREPORTED_FRACTION * spare / max(self._gateways(), 1)
        if self._unreported[charge.organisation] >= most:
            self.report_use()

    async def _ask_leader(self, charge: Charge) -> None:
        # A leader that can't confirm that it still leads gives no answer, and may stay connected as
        # the leader. Without a timeout the call would wait until its caller disconnects.
        asking = self._client.ask_quota(charge.organisation, charge.units)
        answer = await self._clock.within_ms(ANSWER_TIMEOUT_MS, asking)
        self._last_contact_ms = self._clock.now_ms()
        if not answer.admitted:
            raise OverQuota(answer.retry_after_ms, is_used_up=True)
        self._note(charge.organisation, charge.units)

    async def _admit_without_leader(self, charge: Charge, quota: Quota, give_up_ms: int) -> bool:
        """Admit by this gateway's own share; return False if a leader may be connected again.

        Raises
        ------
        OverQuota
            When the share is used up and no leader is found until `give_up_ms`.
        """
        share = self._share(charge.organisation)
        admitted = share.try_take(
            quota,
            self._gateways(),
            self._last_contact_ms,
            charge.organisation in self._short,
            self._client.isolated,
            charge.units,
        )
        if admitted:
            share.note(charge.units)
            return True
        wait_ms = give_up_ms - self._clock.now_ms()
        if wait_ms <= 0 or not await self._client.until_connected(wait_ms):
            raise OverQuota(NO_LEADER_RETRY_MS, is_used_up=False)
        return False

    def _note(self, organisation: str, units: float) -> None:
        self._share(organisation).note(units)

    def _share(self, organisation: str) -> LeaderlessShare:
        # The least recently used share is dropped; if it is created again, it is only smaller.
        share = self._shares.pop(organisation, None)
        if share is None:
            share = LeaderlessShare(self._bounds, self._clock, self._rng)
        self._shares[organisation] = share
        if len(self._shares) > MAX_SHARES:
            self._shares.pop(next(iter(self._shares)))
        return share

    def _add_unreported(self, organisation: str, units: float) -> None:
        self._unreported[organisation] = self._unreported.get(organisation, 0.0) + units
