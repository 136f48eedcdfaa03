"""A gateway's part in keeping quotas."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

from ..clock import Clock
from ..routes import Organisation, Quota
from ..settings.quota_bounds import QuotaBounds
from .lone_share import LoneShare
from .messages import OrganisationUse, QuotaNews, UsedQuota, WasShort
from .quota_line import NoKeeper, QuotaLine

log = logging.getLogger(__name__)
UNTOLD_PART = 0.25
"""Part of the burst, and of the spare units, that all gateways together may have let through
without a word."""
TELL_MS = 200
"""Small beside a window; a gateway that has little to tell sends five messages a second."""
KEEPER_WAIT_MS = 1_500
"""An election takes about a second; a request waits this long for it if it has the time."""
ANSWER_MS = 300
"""A keeper answers at once; one that does not is left by its gateways soon after."""
NO_KEEPER_RETRY_MS = 800
"""A leader is elected within this time."""
MOST_SHARES = 4_096
"""Organisations that one gateway remembers; those that came last are kept."""


class OverQuota(Exception):
    """The request is over its organisation's quota, or nobody can say; nothing ran.

    Attributes
    ----------
    retry_after_ms : int
        When it may pass.
    sure : bool
        Whether the quota is used up; False where there is nobody to ask.
    """

    def __init__(self, retry_after_ms: int, sure: bool) -> None:
        super().__init__(f"over the quota, come back in {retry_after_ms} ms")
        self.retry_after_ms = retry_after_ms
        self.sure = sure


@dataclass(frozen=True, slots=True)
class Charge:
    """Units that a request took."""

    organisation: str
    units: float


class QuotaDesk:
    """Lets requests through by what the keeper of the quotas told last.

    A request of an organisation that has plenty passes at once and is told afterwards. One of an
    organisation that is short is asked for. While there is nobody to ask, each gateway goes on by
    its own `LoneShare`.
    """

    def __init__(
        self,
        line: QuotaLine,
        gateways: Callable[[], int],
        bounds: QuotaBounds,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._line = line
        self._gateways = gateways
        self._bounds = bounds
        self._clock = clock
        self._rng = rng
        self._short: frozenset[str] = frozenset()
        self._untold: dict[str, float] = {}
        self._shares: dict[str, LoneShare] = {}
        self._heard_ms = clock.now_ms()

    def take(self, news: QuotaNews) -> None:
        """Take over what the keeper tells."""
        before = frozenset[str]() if news.whole else self._short
        self._short = (before | frozenset(news.short)) - frozenset(news.plenty)

    def was_short(self) -> WasShort:
        """What to tell a leader that has just begun."""
        return WasShort(tuple(sorted(self._short)))

    async def admit(self, organisation: Organisation, tokens: int | None, until_ms: int) -> Charge:
        """Let a request through.

        Parameters
        ----------
        tokens : int or None
            Tokens that it names; None if it names none.
        until_ms : int
            Clock time until which it can wait.

        Raises
        ------
        OverQuota
        """
        quota = organisation.quota
        charge = Charge(organisation.name, quota.cost(tokens))
        if not quota.limited:
            return charge
        give_up_ms = min(self._clock.now_ms() + KEEPER_WAIT_MS, until_ms)
        while True:
            if self._line.connected and charge.organisation not in self._short:
                self._pass_and_tell(charge, quota)
                return charge
            try:
                await self._ask(charge)
                return charge
            except (NoKeeper, TimeoutError):
                if await self._passes_alone(charge, quota, give_up_ms):
                    return charge

    def give_back(self, charge: Charge, quota: Quota) -> None:
        """Give back what a request took that never ran."""
        if quota.limited:
            self._note(charge.organisation, -charge.units)
            self._add_untold(charge.organisation, -charge.units)

    async def run(self) -> None:
        """Tell what passed, until cancelled."""
        while True:
            await self._clock.sleep_ms(TELL_MS)
            self.tell()

    def tell(self) -> None:
        """Tell the keeper what passed since the last time."""
        if self._line.connected:
            self._heard_ms = self._clock.now_ms()
        if self._untold:
            uses = tuple(OrganisationUse(name, units) for name, units in self._untold.items())
            self._untold = {}
            self._line.tell_use(UsedQuota(uses))

    def _pass_and_tell(self, charge: Charge, quota: Quota) -> None:
        self._note(charge.organisation, charge.units)
        self._add_untold(charge.organisation, charge.units)
        # What the keeper doesn't know yet of all gateways stays within the spare units, however
        # many of them one organisation comes through at once.
        spare = min(self._bounds.spare(quota), quota.burst)
        most = UNTOLD_PART * spare / max(self._gateways(), 1)
        if self._untold[charge.organisation] >= most:
            self.tell()

    async def _ask(self, charge: Charge) -> None:
        # A leader that is not sure that it still leads gives no answer, and may go on to lead.
        # Symptom without a bound: the call waits until its caller leaves, and gets no answer.
        asking = self._line.ask_quota(charge.organisation, charge.units)
        answer = await self._clock.within_ms(ANSWER_MS, asking)
        self._heard_ms = self._clock.now_ms()
        if not answer.admitted:
            raise OverQuota(answer.retry_after_ms, sure=True)
        self._note(charge.organisation, charge.units)

    async def _passes_alone(self, charge: Charge, quota: Quota, give_up_ms: int) -> bool:
        """Pass by this gateway's own share; False if there may be a keeper again."""
        share = self._share(charge.organisation)
        lone = share.take(
            quota,
            self._gateways(),
            self._heard_ms,
            charge.organisation in self._short,
            self._line.isolated,
            charge.units,
        )
        if lone:
            share.note(charge.units)
            return True
        wait_ms = give_up_ms - self._clock.now_ms()
        if wait_ms <= 0 or not await self._line.until_connected(wait_ms):
            raise OverQuota(NO_KEEPER_RETRY_MS, sure=False)
        return False

    def _note(self, organisation: str, units: float) -> None:
        self._share(organisation).note(units)

    def _share(self, organisation: str) -> LoneShare:
        # The one that was asked for longest ago goes first; begun anew it is only smaller.
        share = self._shares.pop(organisation, None)
        if share is None:
            share = LoneShare(self._bounds, self._clock, self._rng)
        self._shares[organisation] = share
        if len(self._shares) > MOST_SHARES:
            self._shares.pop(next(iter(self._shares)))
        return share

    def _add_untold(self, organisation: str, units: float) -> None:
        self._untold[organisation] = self._untold.get(organisation, 0.0) + units
