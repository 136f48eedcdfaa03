"""Compares three ways in which gateways can keep a limit that an upstream declares.

Callers send eight times the requests that the upstream accepts, through all gateways evenly or
through one in ten. Time is simulated. The strategies:

- asked: the leader grants and counts every send;
- shares: each gateway has an equal share of the limit;
- alone: each gateway applies the whole limit to its own sends.

Columns: gateways; gateways that callers use; strategy; fraction of the limit that is used; most
requests in 4 s, as a fraction of those allowed.
"""

from __future__ import annotations

import argparse
import random
from collections import deque
from collections.abc import Callable

from chestnutfall.clock import ManualClock
from chestnutfall.limits.leaderless_limits import LeaderlessLimits
from chestnutfall.limits.upstream_limit import UpstreamLimit
from chestnutfall.platform.standin.limit_history import ALLOWED_EXTRA, ALLOWED_FACTOR, WINDOW_MS

STEP_MS = 5
DEMAND_RATIO = 8.0
"""Requests that callers send, as a multiple of the limit."""
MaySend = Callable[[int], bool]
"""Decides whether the gateway of a number may send now, and counts the request if so."""


def _counted_by_leader(
    clock: ManualClock, per_s: float, gateways: int, rng: random.Random
) -> MaySend:
    limit = UpstreamLimit()
    limit.update(per_s, 0, 0, 0)

    def may_send(gateway: int) -> bool:
        if limit.wait_ms(0, clock.now_ms()):
            return False
        limit.note_sent(clock.now_ms())
        return True

    return may_send


def _equal_shares(clock: ManualClock, per_s: float, gateways: int, rng: random.Random) -> MaySend:
    shares = [LeaderlessLimits(lambda: gateways, clock, rng, 1.0) for _ in range(gateways)]
    return lambda gateway: shares[gateway].try_send("i", per_s)


def _whole_limit_each(
    clock: ManualClock, per_s: float, gateways: int, rng: random.Random
) -> MaySend:
    own = [_counted_by_leader(clock, per_s, gateways, rng) for _ in range(gateways)]
    return lambda gateway: own[gateway](gateway)


STRATEGIES = {"asked": _counted_by_leader, "shares": _equal_shares, "alone": _whole_limit_each}


def simulate(strategy: str, gateways: int, callers_at: int, per_s: float, seconds: int) -> str:
    """Simulate one strategy and return a row of the table.

    Parameters
    ----------
    callers_at : int
        Number of gateways that callers use.
    per_s : float
        Limit of the upstream, requests per second.
    """
    clock, rng = ManualClock(), random.Random(7)
    may_send = STRATEGIES[strategy](clock, per_s, gateways, rng)
    window: deque[int] = deque()
    sent = max_in_window = 0
    for now_ms in range(0, seconds * 1000, STEP_MS):
        clock._now_ms = now_ms
        if rng.random() < DEMAND_RATIO * per_s * STEP_MS / 1000 and may_send(
            rng.randrange(callers_at)
        ):
            sent += 1
            window.append(now_ms)
        while window and window[0] <= now_ms - WINDOW_MS:
            window.popleft()
        max_in_window = max(max_in_window, len(window))
    allowed = ALLOWED_FACTOR * per_s * WINDOW_MS / 1000 + ALLOWED_EXTRA
    where = "all" if callers_at == gateways else f"{callers_at}"
    return (
        f"{gateways:8d} {where:>5} {strategy:>7} {sent / per_s / seconds:6.3f} "
        f"{max_in_window / allowed:6.3f}"
    )


def main() -> None:
    """Print a row for each number of gateways, use by callers and strategy."""
    cli = argparse.ArgumentParser(prog="limits", description=__doc__)
    cli.add_argument("--per-s", type=float, default=7.0)
    cli.add_argument("--seconds", type=int, default=60)
    args = cli.parse_args()
    print("gateways    at     way   used   most")
    for gateways in (9, 91, 195, 410):
        for callers_at in (gateways, max(gateways // 10, 1)):
            for strategy in STRATEGIES:
                print(simulate(strategy, gateways, callers_at, args.per_s, args.seconds))


if __name__ == "__main__":
    main()
