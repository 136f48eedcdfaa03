"""Checks that the test of each safeguard fails without the safeguard.

`python -m properties.mutants` removes one safeguard at a time from a copy of the tree, runs its
test there, and prints whether the test failed. docs/PROMISES.md holds the printed table. An
argument selects the mutants whose names contain it.
"""

from __future__ import annotations

import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from .mutant import Mutant
from .mutated_tree import NotApplicable, mutated_tree
from .safeguards import MUTANTS

TIMEOUT_S = 90
"""Time after which a test that doesn't end counts as failed."""
MAX_PARALLEL = 4
"""Mutants whose tests run at once, each in a process."""


def _result(mutant: Mutant) -> str:
    """Return a sentence that begins with `fails` if the test detects the mutant."""
    with tempfile.TemporaryDirectory() as folder:
        tree = Path(folder) / "tree"
        try:
            mutated_tree(tree, mutant)
        except NotApplicable as exc:
            return f"NOT APPLICABLE: {exc}"
        return _run(tree, mutant.test)


def _run(tree: Path, test: str) -> str:
    command = [sys.executable, "-m", "chestnutfall.tests", test]
    try:
        done = subprocess.run(
            command, cwd=tree, capture_output=True, text=True, timeout=TIMEOUT_S, check=False
        )
    except subprocess.TimeoutExpired:
        return "fails (does not end)"
    last = done.stdout.strip().splitlines()[-1] if done.stdout.strip() else "no output"
    return f"fails ({last})" if done.returncode else f"SURVIVES ({last})"


def main() -> int:
    """Run the chosen mutants and print a row for each; return 1 if one survives, else 0."""
    wanted = sys.argv[1] if len(sys.argv) > 1 else ""
    chosen = [mutant for mutant in MUTANTS if wanted in mutant.name]
    survived = 0
    with ThreadPoolExecutor(MAX_PARALLEL) as pool:
        for mutant, result in zip(chosen, pool.map(_result, chosen), strict=True):
            survived += not result.startswith("fails")
            test = mutant.test.removeprefix("chestnutfall.tests.")
            print(f"| {mutant.name} | `{test}` | {result} |", flush=True)
    return 1 if survived else 0


if __name__ == "__main__":
    sys.exit(main())
