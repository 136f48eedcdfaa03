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
from collections import deque

from chestnutfall.quota.token_bucket import TokenBucket

from .quota_strategies import BOUNDS, PER_S, QUOTA, STEP_MS, STRATEGIES, Strategy

SMALL_REQUEST_TOKENS, LARGE_REQUEST_TOKENS = 712, 9_240
LARGE_FRACTION = 0.02
"""Fraction of the requests that are large."""
WARM_UP_MS = 2_000
"""Time without requests, so that the start of the leader is not measured."""
SECONDS = 20
MAX_UNITS_IN_WINDOW = PER_S * (BOUNDS.window_ms / 1000 + 1) + BOUNDS.spare(QUOTA)
"""Units that may be admitted in any window of the bounds: rate, burst and spare units."""
MAX_RATIO = 9
"""Larger ratios are printed as this one, to keep the columns in line."""


class _Tally:
    """Counts requests, and compares them with those that one token bucket would admit."""

    def __init__(self) -> None:
        self.requests = 0
        self._entitled = self._refused = 0.0
        self._admitted: list[tuple[int, float]] = []
        self._entitlement = TokenBucket(PER_S, PER_S, PER_S, 0)

    def note(self, now_ms: int, units: float, admitted: bool) -> None:
        """Count a request of `units` that a strategy admitted or refused."""
        self.requests += 1
        is_entitled = self._entitlement.level(now_ms) >= units
        if is_entitled:
            self._entitlement.take(units, now_ms)
            self._entitled += units
        if admitted:
            self._admitted.append((now_ms, units))
        elif is_entitled:
            self._refused += units

    def columns(self) -> str:
        """Return refused and admitted units by the entitled ones, and the fullest window."""
        admitted = sum(units for _, units in self._admitted)
        ratio = min(admitted / self._entitled, MAX_RATIO)
        most = _max_in_window(self._admitted) / MAX_UNITS_IN_WINDOW
        return f"{self._refused / self._entitled:8.3f} {ratio:8.3f} {most:8.3f}"


async def _simulate(
    strategy: Strategy, load: float, used_gateways: int, moves: bool, changes_leader: bool
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
    for _ in range(WARM_UP_MS // STEP_MS):
        strategy.step()
    tally = _Tally()
    due_units = 0.0
    messages, waited = strategy.messages, strategy.waited
    for now_ms in range(0, SECONDS * 1000, STEP_MS):
        first = (now_ms // 1_000 * used_gateways) % strategy.gateways if moves else 0
        if changes_leader and now_ms % 5_000 == 4_000:
            strategy.replace_leader()
        due_units += load * PER_S * STEP_MS / 1000
        while due_units > 0:
            is_large = rng.random() < LARGE_FRACTION
            units = float(LARGE_REQUEST_TOKENS if is_large else SMALL_REQUEST_TOKENS)
            due_units -= units
            gateway = (first + rng.randrange(used_gateways)) % strategy.gateways
            tally.note(now_ms, units, await strategy.request(gateway, units))
        strategy.step()
    per_gateway = (strategy.messages - messages) / SECONDS / strategy.gateways
    waited_ratio = (strategy.waited - waited) / tally.requests
    return f"{tally.columns()} {per_gateway:10.2f} {waited_ratio:8.3f}"


def _max_in_window(admitted: list[tuple[int, float]]) -> float:
    """Return the most units admitted in any window of the bounds."""
    window: deque[tuple[int, float]] = deque()
    held = most = 0.0
    for at_ms, units in admitted:
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
"""Arguments of `_simulate` after the strategy, by the name of the load."""


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
