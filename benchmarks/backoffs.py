"""Ways in which a leader can know which engines want no requests of which gateway.

The pattern: three of nine engines, and one of three plain upstreams, turn all away for nine seconds
and ask for three each time; the others have room. Nobody: gateways keep to it by themselves, and
ask the leader for another place. Told: each gateway tells the leader, who places its calls
elsewhere; to name them in each request comes to the same places. Hinted: the same, and others avoid
what asked one gateway. Time is simulated; gateways, forwarder and leader are the real ones.

Columns: gateways, way; part of the calls that are served; requests that were turned away for each
call; places that could not be used; repeats that were not to be had; words to the leader a second;
bytes a second if each request named them instead.
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
BACKOFF = "3"
BEFORE_MS, ASKED_MS, AFTER_MS = 2_000, 9_000, 3_000
INSTANCE_BYTES = 27
"""An instance's name with the start of its process, as it goes to the leader."""


@contextmanager
def _nobody() -> Iterator[None]:
    with mock.patch.object(BackoffCoordinator, "record_backoff", lambda *args: None):
        yield


@contextmanager
def _told() -> Iterator[None]:
    with (
        mock.patch.object(UpstreamBackoff, "probably_rejects", lambda *args: False),
        mock.patch.object(KnownBackoffs, "probably_rejects", lambda *args: False),
    ):
        yield


@contextmanager
def _hinted() -> Iterator[None]:
    yield


WAYS = {"nobody": _nobody, "told": _told, "hinted": _hinted}


async def play(gateways: int, way: str, seed: int) -> str:
    """One line of the table."""
    office = SignalOffice(gateways, engines=9, plain=3, seed=seed, repeats=REPEATS)
    words = 0
    hear = BackoffCoordinator.record_backoff

    def counted(self: BackoffCoordinator, *args: object) -> None:
        nonlocal words
        words += 1
        hear(self, *args)  # type: ignore[arg-type]

    with mock.patch.object(BackoffCoordinator, "record_backoff", counted), WAYS[way]():
        await office.play(BEFORE_MS, RATES)
        from_ms = office.clock.now_ms()
        resting = [f"{ENGINES}-{at}" for at in range(3)] + [f"{PLAIN}-0"]
        for instance in resting:
            office.upstreams[instance].backoff = BACKOFF
        await office.play(ASKED_MS, RATES)
        for instance in resting:
            office.upstreams[instance].backoff = None
        await office.play(AFTER_MS, RATES)
        await office.stop()
    calls = [one for one in office.finished if one.sent_ms >= from_ms]
    served = sum(one.status == 200 for one in calls) / len(calls)
    away = sum(len(one.backoff_requests) for one in office.upstreams.values()) / len(calls)
    text = office.metrics.text()
    held, over = (_count(text, name) for name in ("sends_held_back", "repeats_over_budget"))
    words_per_s = 1000 * words / ASKED_MS
    named_per_s = RATES[ENGINES] * 3 * INSTANCE_BYTES
    row = (gateways, way, f"{served:.4f}", f"{away:.4f}", held, over, f"{words_per_s:.1f}")
    return f"| {' | '.join(map(str, (*row, f'{named_per_s:.0f}')))} |"


def _count(text: str, name: str) -> int:
    found = re.search(rf"chestnutfall_{name}_total (\d+)", text)
    return int(found.group(1)) if found else 0


def main() -> None:
    """Print the table."""
    cli = argparse.ArgumentParser(description=__doc__)
    cli.add_argument("--gateways", type=int, nargs="+", default=[9, 91, 410])
    cli.add_argument("--seed", type=int, default=1)
    args = cli.parse_args()
    for gateways in args.gateways:
        for way in WAYS:
            print(asyncio.run(play(gateways, way, args.seed)), flush=True)


if __name__ == "__main__":
    main()
