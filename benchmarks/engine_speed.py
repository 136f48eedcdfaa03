"""Requests served in time by engines that differ in speed, for each way to know their speeds.

Ways: `equal` holds all engines equal; `learned` learns the usual speed of each engine; `reported`
uses the slowdowns that answers report; `both` does both, as placement does.

With up to eight `--adapters` each engine holds all from the beginning. Requests of the first two
seconds are not counted.

Columns: way; for short, deferred and long prompts the fraction with first event and pauses in time,
and the median time to the first event; requests that the slowest engine got, and the busiest,
against the mean.
"""

from __future__ import annotations

import argparse
import contextlib
import statistics
from collections.abc import Iterator
from dataclasses import replace
from unittest import mock

from chestnutfall.placement.engine_speed import EngineSpeed
from chestnutfall.tests.fakes.uneven_engines import (
    DEFERRED,
    LONG,
    SHORT,
    Noise,
    UnevenEngines,
    UnevenLoad,
)

USUAL_ENGINES = 45
"""Engines for which the rates of the kinds of requests are meant."""
COUNTED_FROM_MS = 2_000
_UNUSED = {
    "equal": ("note_answer", "note_report"),
    "learned": ("note_report",),
    "reported": ("note_answer",),
    "both": (),
}


@contextlib.contextmanager
def _only(way: str) -> Iterator[None]:
    """Leave out what the other ways know."""
    with contextlib.ExitStack() as stack:
        for name in _UNUSED[way]:
            stack.enter_context(mock.patch.object(EngineSpeed, name, lambda *args: None))
        yield


def _row(way: str, load: UnevenLoad) -> str:
    with _only(way):
        played = UnevenEngines(load).play()
    columns = [f"{way:9}"]
    for kind in load.kinds:
        median_ms = statistics.median(played.firsts_ms[kind.name] or [0.0])
        columns.append(f"{played.share(kind.name):7.3f} {median_ms:5.0f}")
    speeds = list(load.speeds)
    count = len(speeds)
    slowest = played.given_share(f"e{speeds.index(max(speeds))}") * count
    busiest = max(played.given_share(f"e{number}") for number in range(count)) * count
    return " ".join((*columns, f"{slowest:7.2f} {busiest:7.2f}"))


def main() -> None:
    """Print a row for each way."""
    cli = argparse.ArgumentParser(prog="engine_speed", description=__doc__)
    cli.add_argument("--engines", type=int, default=45)
    cli.add_argument("--slow", type=float, default=0.25, help="part of the engines that are slow")
    cli.add_argument("--speeds", type=float, default=2.0, help="times as long their work takes")
    cli.add_argument("--noise", type=float, default=0.15, help="part of the time with other work")
    cli.add_argument("--noise-factor", type=float, default=2.5)
    cli.add_argument("--load", type=float, default=1.0, help="factor of the rates an engine")
    cli.add_argument("--long", type=float, default=1.0, help="factor of the rate of long prompts")
    cli.add_argument("--uncached", action="store_true", help="long prompts share nothing")
    cli.add_argument("--adapters", type=int, default=400)
    cli.add_argument("--seconds", type=int, default=20)
    cli.add_argument("--seeds", type=int, default=1)
    cli.add_argument("--ways", nargs="+", default=list(_UNUSED))
    args = cli.parse_args()
    slow = round(args.slow * args.engines)
    long = replace(LONG, per_s=LONG.per_s * args.long)
    if args.uncached:
        tokens = LONG.shared_tokens + LONG.own_tokens
        long = replace(long, shared_tokens=0, own_tokens=tokens)
    part = args.load * args.engines / USUAL_ENGINES
    kinds = tuple(replace(one, per_s=one.per_s * part) for one in (SHORT, DEFERRED, long))
    load = UnevenLoad(
        (args.speeds,) * slow + (1.0,) * (args.engines - slow),
        Noise(args.noise, 500.0, args.noise_factor),
        kinds,
        args.seconds,
        args.adapters,
        COUNTED_FROM_MS,
    )
    print("way        short median  defer median   long median slowest busiest")
    for seed in range(1, args.seeds + 1):
        for way in args.ways:
            print(_row(way, replace(load, seed=seed)))


if __name__ == "__main__":
    main()
