"""Compares ways to enforce one organisation's quota over many gateways.

The quota entitles the organisation to the units that one token bucket would admit. `python -m
benchmarks.quotas` prints for each strategy and load: the fraction of the entitled units that is
refused; the admitted units as a fraction of the entitled ones; the most units admitted in any
window, as a fraction of the bound; messages per second of each gateway; and the fraction of
requests that wait for an answer of the leader. The strategies:

- counted: gateways report use afterwards, and ask for each request only while the organisation is
  short of its quota (the strategy in use);
- leased: a gateway borrows tokens in advance for a second and returns those that it did not use;
- shares: each gateway has a share of the rate by the demand that all report five times a second;
- asked: a gateway asks the leader for each request.
"""

from __future__ import annotations

import asyncio
import logging
import random
from abc import ABC, abstractmethod
from collections import deque

from chestnutfall.quota.token_bucket import TokenBucket
from chestnutfall.routes import Organisation, Quota, QuotaUnit
from chestnutfall.settings.quota_bounds import QuotaBounds
from chestnutfall.tests.fakes.quota_office import QuotaOffice

PER_S = 29_000.0
QUOTA = Quota(QuotaUnit.TOKENS, PER_S, PER_S, 200)
BOUNDS = QuotaBounds(8_000, 0.1, 110_000)
SMALL_REQUEST_TOKENS, LARGE_REQUEST_TOKENS = 712, 9_240
STEP_MS = 10
REPORT_MS = 200
LEASE_MS = 1_000
SECONDS = 20


class _Strategy(ABC):
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


class _Counted(_Strategy):
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


class _LeaderBucket(_Strategy):
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


class _Shares(_Strategy):
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
        total = sum(self._wanted) + 1.0
        for bucket, wanted in zip(self._buckets, self._wanted, strict=True):
            # A tenth of the rate is shared equally, so that a gateway without recent demand can
            # admit its first requests.
            share_per_s = PER_S * (0.9 * wanted / total + 0.1 / self.gateways)
            bucket.resize(share_per_s, share_per_s, self.now_ms)
        self._wanted = [0.7 * wanted for wanted in self._wanted]


STRATEGIES: dict[str, type[_Strategy]] = {
    "counted": _Counted,
    "leased": _Leased,
    "shares": _Shares,
    "asked": _Asked,
}


async def _simulate(
    strategy: _Strategy, load: float, used_gateways: int, moves: bool, changes_leader: bool
) -> str:
    """Simulate one load and return the figures of a row.

    Parameters
    ----------
    load : float
        Units that callers ask for, as a multiple of the quota's rate.
    used_gateways : int
        Gateways that receive the requests.
    moves : bool
        Whether other gateways receive them each second.
    changes_leader : bool
        Whether the leader changes every five seconds.
    """
    rng = random.Random(1)
    for _ in range(200):
        strategy.step()
    passed: list[tuple[int, float]] = []
    sent = tokens = 0.0
    requests = 0
    entitlement = TokenBucket(PER_S, PER_S, PER_S, 0)
    refused = entitled = 0.0
    messages, waited = strategy.messages, strategy.waited
    for step in range(SECONDS * 1000 // STEP_MS):
        now_ms = step * STEP_MS
        first = (now_ms // 1_000 * used_gateways) % strategy.gateways if moves else 0
        if changes_leader and now_ms % 5_000 == 4_000:
            strategy.replace_leader()
        tokens += load * PER_S * STEP_MS / 1000
        while tokens > 0:
            units = float(LARGE_REQUEST_TOKENS if rng.random() < 0.02 else SMALL_REQUEST_TOKENS)
            tokens -= units
            sent += units
            requests += 1
            is_entitled = entitlement.level(now_ms) >= units
            if is_entitled:
                entitlement.take(units, now_ms)
                entitled += units
            if await strategy.request(
                (first + rng.randrange(used_gateways)) % strategy.gateways, units
            ):
                passed.append((now_ms, units))
            elif is_entitled:
                refused += units
        strategy.step()
    most = _max_in_window(passed) / ((PER_S * 8 + PER_S) * 1.1 + 110_000)
    per_gateway = (strategy.messages - messages) / SECONDS / strategy.gateways
    total = sum(units for _, units in passed)
    return (
        f"{refused / entitled:8.3f} {min(total / entitled, 9):8.3f} {most:8.3f} "
        f"{per_gateway:10.2f} {(strategy.waited - waited) / requests:8.3f}"
    )


def _max_in_window(passed: list[tuple[int, float]]) -> float:
    """Return the most units admitted in any window of the bounds."""
    window: deque[tuple[int, float]] = deque()
    held = most = 0.0
    for at_ms, units in passed:
        window.append((at_ms, units))
        held += units
        while window[0][0] <= at_ms - BOUNDS.window_ms:
            held -= window.popleft()[1]
        most = max(most, held)
    return most


LOADS = {
    "usual, 16 gateways": (0.55, 16, False, False),
    "usual, moving each second": (0.55, 16, True, False),
    "usual, leader changes": (0.55, 16, False, True),
    "near the limit": (0.95, 16, False, False),
    "12 times the usual": (6.7, 81, False, False),
    "the same, leader changes": (6.7, 81, False, True),
}


def main() -> None:
    """Print a row for each strategy and load."""
    logging.disable(logging.WARNING)
    for gateways in (81, 410):
        print(f"{gateways} gateways; refused: of what is owed; passed: of what is owed")
        print(f"{'':38s} refused   passed  of bound messages/s   waited")
        for load, (load_ratio, used_gateways, moves, changes_leader) in LOADS.items():
            for name, strategy_type in STRATEGIES.items():
                line = asyncio.run(
                    _simulate(
                        strategy_type(gateways), load_ratio, used_gateways, moves, changes_leader
                    )
                )
                print(f"{load:28s} {name:8s} {line}", flush=True)


if __name__ == "__main__":
    main()
