"""Runs the tests and ends with a line that counts those that passed and failed."""

from __future__ import annotations

import argparse
import os
import sys
from pathlib import Path

# The hosts forbid io_uring; libuv opens a ring unless this is set before a loop is created.
os.environ["UV_USE_IO_URING"] = "0"

import nose2
from hypothesis import HealthCheck, settings

from .known_red import known_red, report
from .outcome_counter import OutcomeCounter
from .outcomes import Outcomes
from .suite import ROOT, run_all


def main() -> int:
    """Run the tests named on the command line, or all.

    Returns
    -------
    int
        Exit code: 0 if some tests passed and every failure is listed in KNOWN-RED.txt, else 1.
    """
    cli = argparse.ArgumentParser(prog="chestnutfall.tests", description=__doc__)
    cli.add_argument("names", nargs="*", help="modules, classes or tests; all if there are none")
    cli.add_argument("--outcomes", type=Path, help="file to which the outcomes are written")
    args = cli.parse_args()
    outcomes = _run(args.names) if args.names else run_all()
    if args.outcomes is not None:
        outcomes.write(args.outcomes)
    return 0 if report(outcomes, known_red()) else 1


def _run(names: list[str]) -> Outcomes:
    settings.register_profile(
        "ci",
        derandomize=True,
        database=None,
        deadline=None,
        # It judges by the time that drawing takes, which is the host's.
        suppress_health_check=[HealthCheck.too_slow],
    )
    settings.load_profile("ci")
    plugin = OutcomeCounter.__module__
    argv = ["nose2", "--plugin", plugin, "-s", str(ROOT), "-t", str(ROOT), *names]
    nose2.discover(argv=argv, exit=False)
    failed = frozenset(OutcomeCounter.failed)
    return Outcomes(frozenset(OutcomeCounter.passed) - failed, failed)


if __name__ == "__main__":
    sys.exit(main())
