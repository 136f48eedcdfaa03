"""`python -m soak --seed N --seeds K --minutes M`: plays K seeds from N, each for M minutes."""

from __future__ import annotations

import argparse
import asyncio
import logging
import sys
import tempfile
import time
from pathlib import Path

from .regressions import REGRESSIONS
from .soak_run import SoakRun


def main() -> int:
    """Play the seeds and print a report of each; return 1 if one violated a guarantee, else 0."""
    cli = argparse.ArgumentParser(prog="soak", description=__doc__)
    cli.add_argument("--seed", type=int, default=1, help="first seed")
    cli.add_argument("--seeds", type=int, default=1, help="seeds to play, one after another")
    cli.add_argument("--minutes", type=float, default=0.3, help="time under faults of each seed")
    cli.add_argument("--keep", type=Path, help="folder for the logs of seeds that fail")
    cli.add_argument("--regressions", action="store_true", help="play the seeds that ever failed")
    args = cli.parse_args()
    # The faults break connections on purpose, and aiohttp would log a traceback for each.
    logging.getLogger("aiohttp").setLevel(logging.CRITICAL)
    plan = [(seed, args.minutes) for seed in range(args.seed, args.seed + args.seeds)]
    if args.regressions:
        plan = [(one.seed, one.minutes) for one in REGRESSIONS]
    failed = [seed for seed, minutes in plan if not _play(seed, minutes * 60, args.keep)]
    print(f"soak: {len(plan)} seeds, {len(failed)} with a broken promise {failed or ''}")
    return 1 if failed else 0


def _play(seed: int, length_s: float, keep: Path | None) -> bool:
    began = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        verdict = asyncio.run(SoakRun(seed, length_s, Path(folder)).run())
        if verdict.violations and keep is not None:
            keep.mkdir(parents=True, exist_ok=True)
            for log in Path(folder).glob("*/log"):
                (keep / f"seed{seed}-{log.parent.name}.log").write_bytes(log.read_bytes())
    print(f"seed {seed}: {time.monotonic() - began:.0f} s")
    for line in verdict.lines():
        print(f"  {line}")
    return not verdict.violations


if __name__ == "__main__":
    sys.exit(main())
