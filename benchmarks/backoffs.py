"""Compares ways to share backoffs of upstreams between gateways and the leader.

Three of nine engines and one of three plain upstreams reject all requests for nine seconds, each
time with a backoff of three seconds. The others have free capacity. Time is simulated; gateways,
forwarder and leader run the real code. The strategies:

- nobody: each gateway keeps its backoffs to itself, and asks the leader for another engine when the
  one it was granted is backing off;
- told: each gateway also reports its backoffs to the leader, which places its calls on other
  engines (naming them in each request would give the same placement);
- hinted: in addition, gateways avoid upstreams that asked another gateway for a backoff.

Columns: gateways; strategy; fraction of the calls that are served; rejected requests per call;
sends held back since the granted engine was backing off; repeats refused by the repeat budget;
reports to the leader per second; bytes per second if each request named the engines instead.
"""

from __future__ import annotations

import argparse
import asyncio
import re
from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

from chestnutfall.coordination.backoff_coordinator import BackoffCoordinator
from chestnutfall.settings.repeat_bounds import RepeatBounds
from chestnutfall.signals.known_backoffs import KnownBackoffs
from chestnutfall.signals.upstream_backoff import UpstreamBackoff
from chestnutfall.tests.fakes.signal_office import SignalOffice
from chestnutfall.tests.fakes.signalling_upstream import ENGINES, PLAIN

RATES = {ENGINES: 150.0, PLAIN: 50.0}
REPEATS = RepeatBounds(0.2, 58, 10_000)
BACKOFF_S = "3"
BEFORE_MS, REJECTING_MS, AFTER_MS = 2_000, 9_000, 3_000
INSTANCE_BYTES = 27
"""Name of an instance with the start time of its process, as sent to the leader."""


@contextmanager
def _reports_ignored() -> Iterator[None]:
    """Make the leader ignore all reports."""
    with mock.patch.object(BackoffCoordinator, "record_backoff", lambda *args: None):
        yield


@contextmanager
def _reports_only() -> Iterator[None]:
    """Disable hints about backoffs that other gateways were asked for."""
    with (
        mock.patch.object(UpstreamBackoff, "probably_rejects", lambda *args: False),
        mock.patch.object(KnownBackoffs, "probably_rejects", lambda *args: False),
    ):
        yield


@contextmanager
def _reports_and_hints() -> Iterator[None]:
    """Leave the code as it is."""
    yield


STRATEGIES = {"nobody": _reports_ignored, "told": _reports_only, "hinted": _reports_and_hints}


async def simulate(gateways: int, strategy: str, seed: int) -> str:
    """Simulate one strategy and return a row of the table."""
    office = SignalOffice(gateways, engines=9, plain=3, seed=seed, repeats=REPEATS)
    reports = 0
    record_backoff = BackoffCoordinator.record_backoff

    def counting(self: BackoffCoordinator, *args: object) -> None:
        nonlocal reports
        reports += 1
        record_backoff(self, *args)  # type: ignore[arg-type]

    with mock.patch.object(BackoffCoordinator, "record_backoff", counting), STRATEGIES[strategy]():
        await office.play(BEFORE_MS, RATES)
        from_ms = office.clock.now_ms()
        rejecting = [f"{ENGINES}-{at}" for at in range(3)] + [f"{PLAIN}-0"]
        for instance in rejecting:
            office.upstreams[instance].backoff = BACKOFF_S
        await office.play(REJECTING_MS, RATES)
        for instance in rejecting:
            office.upstreams[instance].backoff = None
        await office.play(AFTER_MS, RATES)
        await office.stop()
    calls = [one for one in office.finished if one.sent_ms >= from_ms]
    served = sum(one.status == 200 for one in calls) / len(calls)
    rejected = sum(len(one.backoff_requests) for one in office.upstreams.values()) / len(calls)
    text = office.metrics.text()
    held, over = (_count(text, name) for name in ("sends_held_back", "repeats_over_budget"))
    reports_per_s = 1000 * reports / REJECTING_MS
    named_bytes_per_s = RATES[ENGINES] * 3 * INSTANCE_BYTES
    row = (
        gateways,
        strategy,
        f"{served:.4f}",
        f"{rejected:.4f}",
        held,
        over,
        f"{reports_per_s:.1f}",
    )
    return f"| {' | '.join(map(str, (*row, f'{named_bytes_per_s:.0f}')))} |"


def _count(text: str, name: str) -> int:
    found = re.search(rf"chestnutfall_{name}_total (\d+)", text)
    return int(found.group(1)) if found else 0


def main() -> None:
    """Print a row for each number of gateways and strategy."""
    cli = argparse.ArgumentParser(description=__doc__)
    cli.add_argument("--gateways", type=int, nargs="+", default=[9, 91, 410])
    cli.add_argument("--seed", type=int, default=1)
    args = cli.parse_args()
    for gateways in args.gateways:
        for strategy in STRATEGIES:
            print(asyncio.run(simulate(gateways, strategy, args.seed)), flush=True)


if __name__ == "__main__":
    main()
