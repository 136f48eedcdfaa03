"""A short run of real programs under the random faults of a fixed seed.

Controllers and gateways are killed, paused and restarted, and connections are delayed, reset and
silenced. Clients, operators and upstreams must see no wrong bytes, no second run of a
non-idempotent request, no "not run" for a request that ran, and no configuration that is older
than an acknowledged one.
"""

from __future__ import annotations

import asyncio
import logging
import tempfile
import unittest
from pathlib import Path

from soak.soak_run import SoakRun

LENGTH_S = 6.0
SEED = 1
MAX_LINES = 60


def _print_logs(folder: Path) -> None:
    """Print the last lines of each daemon's log, since the test deletes the folder."""
    for log in sorted(folder.rglob("log")):
        print(f"--- {log.parent.name}")
        print("\n".join(log.read_text("utf-8").splitlines()[-MAX_LINES:]))


class SoakTest(unittest.TestCase):
    def test_a_short_run_violates_no_guarantee(self) -> None:
        logging.getLogger("aiohttp").setLevel(logging.CRITICAL)
        with tempfile.TemporaryDirectory(prefix="soak-") as folder:
            verdict = asyncio.run(SoakRun(SEED, LENGTH_S, Path(folder)).run())
            if verdict.violations:
                _print_logs(Path(folder))
        self.assertEqual(verdict.violations, [])
        self.assertGreater(verdict.counts["answered"], 0)
