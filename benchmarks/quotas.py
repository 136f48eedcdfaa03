"""Ways to keep one organisation's quota over many gateways, played against each other.

`python -m benchmarks.quotas`: for each way and load, the share of what is owed that is refused, the
most that passes in any window as a part of what may, messages a second of each gateway, and the
share of requests that wait for a word of the keeper. The ways:

- counted: what passed is told afterwards, and asked for once the organisation is short (in use);
- leased: a gateway borrows tokens ahead of need for a second and gives back what it didn't use;
- shares: each gateway has a part of the rate by the demand that all report five times a second;
- asked: each request is asked for.
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
DRAFT, REASSESSMENT = 712, 9_240
STEP_MS = 10
REPORT_MS = 200
LEASE_MS = 1_000
SECONDS = 20


class _Way(ABC):
    """Lets requests through, and counts what that costs."""

    def __init__(self, gateways: int) -> None:
        self.now_ms = 0
        self.messages = self.waited = 0
        self.gateways = gateways

    @abstractmethod
    async def request(self, gateway: int, units: float) -> bool:
        """Whether a request passes."""

    @abstractmethod
    def step(self) -> None:
        """Let some ms pass."""

    def lose_keeper(self) -> None:  # noqa: B027
        """Another keeper begins, which knows nothing; ways without one need nothing."""


class _Counted(_Way):
    def __init__(self, gateways: int) -> None:
        super().__init__(gateways)
        self._office = QuotaOffice(gateways, Organisation("office", (), None, QUOTA), BOUNDS)

    async def request(self, gateway: int, units: float) -> bool:
        passed = await self._office.request(gateway, int(units))
        self.messages, self.waited = self._office.messages, self._office.asked
        return passed

    def step(self) -> None:
        self._office.wait(STEP_MS)

    def lose_keeper(self) -> None:
        self._office.begin_leader()


class _Central(_Way):
    """What the other ways share: one bucket at the keeper."""

    def __init__(self, gateways: int) -> None:
        super().__init__(gateways)
        self.bucket = TokenBucket(PER_S, PER_S, PER_S, 0)

    def step(self) -> None:
        self.now_ms += STEP_MS

    def lose_keeper(self) -> None:
        self.bucket = TokenBucket(PER_S, PER_S, 0.0, self.now_ms)


class _Asked(_Central):
    async def request(self, gateway: int, units: float) -> bool:
        self.messages += 1
        self.waited += 1
        if self.bucket.level(self.now_ms) < units:
            return False
        self.bucket.take(units, self.now_ms)
        return True


class _Leased(_Central):
    """Leases of twice what the last second took, given back when they end."""

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


class _Shares(_Way):
    """A bucket at each gateway, filled by its part of what all asked for lately."""

    def __init__(self, gateways: int) -> None:
        super().__init__(gateways)
        part = PER_S / gateways
        self._own = [TokenBucket(part, part, part, 0) for _ in range(gateways)]
        self._wanted = [0.0] * gateways

    async def request(self, gateway: int, units: float) -> bool:
        self._wanted[gateway] += units
        bucket = self._own[gateway]
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
        for bucket, wanted in zip(self._own, self._wanted, strict=True):
            # A tenth in equal parts, so that one without demand can begin.
            part = PER_S * (0.9 * wanted / total + 0.1 / self.gateways)
            bucket.resize(part, part, self.now_ms)
        self._wanted = [0.7 * wanted for wanted in self._wanted]


WAYS: dict[str, type[_Way]] = {
    "counted": _Counted,
    "leased": _Leased,
    "shares": _Shares,
    "asked": _Asked,
}


async def _play(way: _Way, load: float, clients: int, moves: bool, loses: bool) -> str:
    rng = random.Random(1)
    for _ in range(200):
        way.step()
    passed: list[tuple[int, float]] = []
    sent = tokens = 0.0
    requests = 0
    owed = TokenBucket(PER_S, PER_S, PER_S, 0)
    lost = due = 0.0
    messages, waited = way.messages, way.waited
    for step in range(SECONDS * 1000 // STEP_MS):
        now_ms = step * STEP_MS
        first = (now_ms // 1_000 * clients) % way.gateways if moves else 0
        if loses and now_ms % 5_000 == 4_000:
            way.lose_keeper()
        tokens += load * PER_S * STEP_MS / 1000
        while tokens > 0:
            units = float(REASSESSMENT if rng.random() < 0.02 else DRAFT)
            tokens -= units
            sent += units
            requests += 1
            within = owed.level(now_ms) >= units
            if within:
                owed.take(units, now_ms)
                due += units
            if await way.request((first + rng.randrange(clients)) % way.gateways, units):
                passed.append((now_ms, units))
            elif within:
                lost += units
        way.step()
    most = _most(passed) / ((PER_S * 8 + PER_S) * 1.1 + 110_000)
    per_gateway = (way.messages - messages) / SECONDS / way.gateways
    total = sum(units for _, units in passed)
    return (
        f"{lost / due:8.3f} {min(total / due, 9):8.3f} {most:8.3f} {per_gateway:10.2f} "
        f"{(way.waited - waited) / requests:8.3f}"
    )


def _most(passed: list[tuple[int, float]]) -> float:
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
    """Print a line for each way and load."""
    logging.disable(logging.WARNING)
    for gateways in (81, 410):
        print(f"{gateways} gateways; refused: of what is owed; passed: of what is owed")
        print(f"{'':38s} refused   passed  of bound messages/s   waited")
        for load, (times, clients, moves, loses) in LOADS.items():
            for name, kind in WAYS.items():
                line = asyncio.run(_play(kind(gateways), times, clients, moves, loses))
                print(f"{load:28s} {name:8s} {line}", flush=True)


if __name__ == "__main__":
    main()
