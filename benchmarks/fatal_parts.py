"""Engines that end under one prompt part, and what sound callers beside it are served.

Real programs and stand-in engines on loopback: `python -m benchmarks.fatal_parts --length 18`. With
`--leaders 10`, ten plays in which controllers are killed one after the other all the time.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterator
from pathlib import Path

from chestnutfall.tests.part_scenario import COMPANION, FATAL, PartScenario

ENGINES = 10
LEADER_DOWN_S, LEADER_UP_S = 0.8, 1.0
FIRST_LEADER_ENDS_S = (-1.7, -1.3, -1.0, -0.6, -0.1)
"""Times from the first fatal request to the end of the first controller, one for each play."""


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


def leader_plays(
    seed: int, length_s: float, plays: int, keep: Path | None
) -> Iterator[tuple[str, PartScenario]]:
    """Yield plays in which one controller after the other is killed, with their names."""
    ends = int(length_s / (LEADER_DOWN_S + LEADER_UP_S))
    for at in range(plays):
        after_s = FIRST_LEADER_ENDS_S[at % len(FIRST_LEADER_ENDS_S)]
        scenario = PartScenario(seed + at, ENGINES, length_s, ends_leaders=True)
        scenario.leaders_end_after_s, scenario.leader_ends = after_s, ends
        scenario.leader_down_s, scenario.leader_up_s = LEADER_DOWN_S, LEADER_UP_S
        scenario.keep = keep / f"{seed + at}" if keep is not None else None
        yield f"seed {seed + at}, first controller killed at {after_s} s", scenario


def main() -> None:
    """Play all and print what came of it."""
    cli = argparse.ArgumentParser(description=__doc__)
    cli.add_argument("--seed", type=int, default=80)
    cli.add_argument("--length", type=float, default=18.0, help="seconds of fatal requests")
    cli.add_argument("--leaders", type=int, default=0, help="plays in which controllers end")
    cli.add_argument("--keep", type=Path, help="folder for the logs of these plays")
    args = cli.parse_args()
    chosen = plays(args.seed, args.length)
    if args.leaders:
        chosen = leader_plays(args.seed, args.length, args.leaders, args.keep)
    for name, scenario in chosen:
        scenario.run()
        print(f"{name}: {scenario.describe()}", flush=True)


if __name__ == "__main__":
    main()
