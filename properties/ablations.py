"""Measures what each mechanism adds to the result of simulated days.

`python -m properties.ablations BENCH SITE --days a,b --seeds 1,2 --folder F` removes one mechanism
at a time from a copy of the tree, plays the days there without charging processor time, and prints
the mean `worth`, its difference from that of the unchanged tree, the standard deviation and the
number of days that ended with a result. BENCH is the program that plays a day.
"""

from __future__ import annotations

import argparse
import re
import statistics
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from .ablation_list import ABLATIONS
from .mutant import Mutant
from .mutated_tree import mutated_tree

WORTH = re.compile(r"^worth (-?[0-9.]+) = ", re.MULTILINE)
"""Line of the bench's output with the result of a day."""


def _tree(folder: Path, name: str, ablation: Mutant | None) -> Path:
    tree = folder / re.sub(r"[^a-z0-9]+", "-", name)
    if not tree.exists():
        mutated_tree(tree, ablation)
    return tree


def _play(bench: str, tree: Path, site: str, day: str, seed: str, name: str) -> float | None:
    """Play one day and return its `worth`; None if the day ended without a result."""
    command = [bench, "run", site, day, "--seed", seed, "--no-cpu", "--jobs", "1"]
    command += ["--why", f"Ablation: {name}"]
    done = subprocess.run(command, cwd=tree, capture_output=True, text=True, check=False)
    found = WORTH.search(done.stdout)
    return float(found.group(1)) if found else None


def _worths(args: argparse.Namespace, tree: Path, name: str) -> list[float]:
    runs = [(day, seed) for seed in args.seeds.split(",") for day in args.days.split(",")]
    with ThreadPoolExecutor(args.at_once) as pool:
        results = [
            pool.submit(_play, args.bench, tree, args.site, day, seed, name) for day, seed in runs
        ]
        return [worth for result in results if (worth := result.result()) is not None]


def main() -> int:
    """Print a row for the unchanged tree and one for each mechanism; return 0."""
    cli = argparse.ArgumentParser(prog="ablations", description=__doc__)
    cli.add_argument("bench")
    cli.add_argument("site")
    cli.add_argument("--days", default="trouble-1,scale-1,trouble-2,scale-2,trouble-3")
    cli.add_argument("--seeds", default="21")
    cli.add_argument("--folder", type=Path, required=True, help="where the copies are made")
    cli.add_argument("--at-once", type=int, default=4)
    cli.add_argument("--only", default="", help="part of a mechanism's name")
    args = cli.parse_args()
    chosen = [None, *(one for one in ABLATIONS if args.only in one.name)]
    whole = 0.0
    for ablation in chosen:
        name = ablation.name if ablation is not None else "whole"
        tree = _tree(args.folder, name, ablation)
        subprocess.run([args.bench, "build"], cwd=tree, capture_output=True, check=False)
        worths = _worths(args, tree, name)
        mean = statistics.mean(worths) if worths else float("nan")
        whole = mean if ablation is None else whole
        spread = statistics.stdev(worths) if len(worths) > 1 else 0.0
        row = f"| {name} | {mean:.3f} | {mean - whole:+.3f} | {spread:.3f} | {len(worths)} |"
        print(row, flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
