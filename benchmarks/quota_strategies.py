"""Strategies to enforce one organisation's quota over many gateways, for `benchmarks.quotas`."""

from __future__ import annotations

from abc import ABC, abstractmethod

from chestnutfall.quota.token_bucket import TokenBucket
from chestnutfall.routes import Organisation, Quota, QuotaUnit
from chestnutfall.settings.quota_bounds import QuotaBounds
from chestnutfall.tests.fakes.quota_office import QuotaOffice

PER_S = 29_000.0
QUOTA = Quota(QuotaUnit.TOKENS, PER_S, PER_S, 200)
"""Quota of the organisation: tokens per second, and a burst of the tokens of one second."""
BOUNDS = QuotaBounds(8_000, 0.1, 110_000)
STEP_MS = 10
REPORT_MS = 200
"""Interval at which gateways report their demand with the strategy `shares`."""
EQUAL_FRACTION = 0.1
"""Fraction of the rate that is shared equally, for first requests at gateways without demand."""
DEMAND_KEPT = 0.7
"""Fraction of the demand before a report that still counts after it."""
LEASE_MS = 1_000


class Strategy(ABC):
    """Admits requests, and counts the cost of doing so.

    Attributes
    ----------
    messages : int
        Messages between gateways and the leader.
    waited : int
        Requests that waited for an answer of the leader.
    """

    def __init__(self, gateways: int) -> None:
        self.now_ms = 0
        self.messages = self.waited = 0
        self.gateways = gateways

    @abstractmethod
    async def request(self, gateway: int, units: float) -> bool:
        """Return whether a request of `units` through a gateway is admitted."""

    @abstractmethod
    def step(self) -> None:
        """Advance the clock by `STEP_MS`."""

    def replace_leader(self) -> None:  # noqa: B027
        """Start a new leader without any state; strategies without a leader do nothing."""


class _Counted(Strategy):
    def __init__(self, gateways: int) -> None:
        super().__init__(gateways)
        self._office = QuotaOffice(gateways, Organisation("office", (), None, QUOTA), BOUNDS)

    async def request(self, gateway: int, units: float) -> bool:
        passed = await self._office.request(gateway, int(units))
        self.messages, self.waited = self._office.messages, self._office.asked
        return passed

    def step(self) -> None:
        self._office.wait(STEP_MS)

    def replace_leader(self) -> None:
        self._office.begin_leader()


class _LeaderBucket(Strategy):
    """One token bucket at the leader, which other strategies take from."""

    def __init__(self, gateways: int) -> None:
        super().__init__(gateways)
        self.bucket = TokenBucket(PER_S, PER_S, PER_S, 0)

    def step(self) -> None:
        self.now_ms += STEP_MS

    def replace_leader(self) -> None:
        self.bucket = TokenBucket(PER_S, PER_S, 0.0, self.now_ms)


class _Asked(_LeaderBucket):
    async def request(self, gateway: int, units: float) -> bool:
        self.messages += 1
        self.waited += 1
        if self.bucket.level(self.now_ms) < units:
            return False
        self.bucket.take(units, self.now_ms)
        return True


class _Leased(_LeaderBucket):
    """Leases of twice the units that were used since the last lease ended; the rest is returned."""

    def __init__(self, gateways: int) -> None:
        super().__init__(gateways)
        self._held = [0.0] * gateways
        self._used = [0.0] * gateways

    async def request(self, gateway: int, units: float) -> bool:
        self._used[gateway] += units
        if self._held[gateway] < units:
            self.messages += 1
            self.waited += 1
            wanted = max(units, 2 * self._used[gateway]) - self._held[gateway]
            given = min(wanted, max(self.bucket.level(self.now_ms), 0.0))
            self.bucket.take(given, self.now_ms)
            self._held[gateway] += given
        if self._held[gateway] < units:
            return False
        self._held[gateway] -= units
        return True

    def step(self) -> None:
        super().step()
        if self.now_ms % LEASE_MS:
            return
        for gateway in range(self.gateways):
            self.messages += self._held[gateway] > 0
            self.bucket.take(-self._held[gateway], self.now_ms)
        self._held = [0.0] * self.gateways
        self._used = [0.0] * self.gateways


class _Shares(Strategy):
    """A bucket at each gateway that fills by its share of the recent demand at all gateways."""

    def __init__(self, gateways: int) -> None:
        super().__init__(gateways)
        share_per_s = PER_S / gateways
        self._buckets = [
            TokenBucket(share_per_s, share_per_s, share_per_s, 0) for _ in range(gateways)
        ]
        self._wanted = [0.0] * gateways

    async def request(self, gateway: int, units: float) -> bool:
        self._wanted[gateway] += units
        bucket = self._buckets[gateway]
        if bucket.level(self.now_ms) <= 0:
            return False
        bucket.take(units, self.now_ms)
        return True

    def step(self) -> None:
        self.now_ms += STEP_MS
        if self.now_ms % REPORT_MS:
            return
        self.messages += 2 * self.gateways
        # Without any demand the total must not be zero.
        total = sum(self._wanted) + 1.0
        for bucket, wanted in zip(self._buckets, self._wanted, strict=True):
            by_demand = (1 - EQUAL_FRACTION) * wanted / total
            share_per_s = PER_S * (by_demand + EQUAL_FRACTION / self.gateways)
            bucket.resize(share_per_s, share_per_s, self.now_ms)
        self._wanted = [DEMAND_KEPT * wanted for wanted in self._wanted]


STRATEGIES: dict[str, type[Strategy]] = {
    "counted": _Counted,
    "leased": _Leased,
    "shares": _Shares,
    "asked": _Asked,
}
