"""A short run of real programs under the random faults of a fixed seed.

Controllers and gateways are killed, paused and restarted, and connections are delayed, reset and
silenced; upstreams, links and leaders' streams are silent for a second and sound, and all power is
lost. Clients, operators and upstreams must see no wrong bytes, no second run of a non-idempotent
request, no "not run" for a request that ran, no end without an answer that nothing explains, and no
configuration that is older than an acknowledged one.
"""

from __future__ import annotations

import asyncio
import logging
import re
import tempfile
import unittest
from pathlib import Path

from soak.soak_run import SoakRun

LENGTH_S = 6.0
SEED = 1
MAX_LINES = 60


def _print_logs(folder: Path, violations: list[str]) -> None:
    """Print what each daemon logged last, of its errors, and of requests that violations name.

    The test deletes the folder.
    """
    named = set(re.findall(r"\b[0-9a-f]{16}\b", " ".join(violations)))
    for log in sorted(folder.rglob("log")):
        print(f"--- {log.parent.name}")
        lines = log.read_text("utf-8", errors="replace").splitlines()
        told = [one for one in lines if '"ERROR"' in one or any(name in one for name in named)]
        print("\n".join((*told, "...", *lines[-MAX_LINES:])))


class SoakTest(unittest.TestCase):
    def test_a_short_run_violates_no_guarantee(self) -> None:
        logging.getLogger("aiohttp").setLevel(logging.CRITICAL)
        with tempfile.TemporaryDirectory(prefix="soak-") as folder:
            verdict = asyncio.run(SoakRun(SEED, LENGTH_S, Path(folder)).run())
            if verdict.violations:
                _print_logs(Path(folder), verdict.violations)
        self.assertEqual(verdict.violations, [])
        self.assertGreater(verdict.counts["answered"], 0)
