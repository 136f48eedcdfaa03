"""A short run of real programs under random faults, the same ones each time.

Whatever clients, operators and upstreams see must keep the promises while controllers and
gateways are killed, paused and restarted and connections are harmed: no wrong bytes, no second
run of what runs once, no "not run" of what ran, no configuration older than an acknowledged one.
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
LINES = 60


def _print_logs(folder: Path) -> None:
    """Show what the daemons wrote last; the folder is gone with the test."""
    for log in sorted(folder.rglob("log")):
        print(f"--- {log.parent.name}")
        print("\n".join(log.read_text("utf-8").splitlines()[-LINES:]))


class SoakTest(unittest.TestCase):
    def test_a_short_run_keeps_the_promises(self) -> None:
        logging.getLogger("aiohttp").setLevel(logging.CRITICAL)
        with tempfile.TemporaryDirectory(prefix="soak-") as folder:
            verdict = asyncio.run(SoakRun(SEED, LENGTH_S, Path(folder)).run())
            if verdict.broken:
                _print_logs(Path(folder))
        self.assertEqual(verdict.broken, [])
        self.assertGreater(verdict.counts["answered"], 0)
