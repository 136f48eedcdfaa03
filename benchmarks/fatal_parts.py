"""Engines that end under one prompt part, and what sound callers beside it are served.

Real programs and stand-in engines on loopback: `python -m benchmarks.fatal_parts --length 18`.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterator

from chestnutfall.tests.part_scenario import COMPANION, FATAL, PartScenario

ENGINES = 10


def plays(seed: int, length_s: float) -> Iterator[tuple[str, PartScenario]]:
    """Yield the plays with their names."""
    both = (COMPANION, FATAL)
    yield "two callers", PartScenario(seed, ENGINES, length_s)
    yield "the same, controllers killed in turn", PartScenario(
        seed + 1, ENGINES, length_s, ends_leaders=True
    )
    yield "the same with a part that only they have", PartScenario(
        seed + 2, ENGINES, length_s, both
    )
    yield "twenty callers within a second", PartScenario(
        seed + 3, ENGINES, length_s, fatal_callers=20, pause_s=(1.0, 2.0)
    )
    yield "engines that are back after 0.4 s", PartScenario(seed + 4, ENGINES, length_s, down_s=0.4)


def main() -> None:
    """Play all and print what came of it."""
    cli = argparse.ArgumentParser(description=__doc__)
    cli.add_argument("--seed", type=int, default=80)
    cli.add_argument("--length", type=float, default=18.0, help="seconds of fatal requests")
    args = cli.parse_args()
    for name, scenario in plays(args.seed, args.length):
        scenario.run()
        print(f"{name}: {scenario.describe()}", flush=True)


if __name__ == "__main__":
    main()
