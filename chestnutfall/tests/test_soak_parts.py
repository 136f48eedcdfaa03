"""Parts of the soak that could make a sound program look faulty."""

from __future__ import annotations

import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SIGNALLED = """
import os, signal, sys
from soak import cut_off_launch

class Links:
    def install():
        os.kill(os.getpid(), signal.SIGHUP)
        print("installed")

class Program:
    def main():
        print("started")

sys.modules["soak.cut_links"] = Links
sys.modules["chestnutfall.platform.gateway"] = Program
sys.argv = ["launch", "gateway"]
cut_off_launch.main()
"""


class CutOffLaunchTest(unittest.TestCase):
    # Guards against a gateway that a reload ends since the soak's launcher imports libraries first.
    def test_sighup_during_the_imports_does_not_end_a_gateway(self) -> None:
        command = [sys.executable, "-c", SIGNALLED]
        done = subprocess.run(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
        self.assertEqual((done.returncode, done.stdout), (0, "installed\nstarted\n"))

    def test_libraries_are_imported_after_the_signal_is_ignored(self) -> None:
        code = "import sys; from soak import cut_off_launch; print('aiohttp' in sys.modules)"
        done = subprocess.run(
            [sys.executable, "-c", code], cwd=ROOT, stdout=subprocess.PIPE, text=True
        )
        self.assertEqual(done.stdout, "False\n")
