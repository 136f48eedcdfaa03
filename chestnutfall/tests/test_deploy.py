"""The platform's programs must start with the libraries that the deploy file installs.

The deploy file installs a short list. If a module that the programs import, even indirectly, needs
another library, every program exits at once on a clean host. Where that library happens to be
installed for another purpose, the fault does not show.
"""

from __future__ import annotations

import re
import subprocess
import sys
import unittest
from importlib import metadata
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PROGRAMS = ("chestnutfall.platform.gateway", "chestnutfall.platform.controller")
IMPORT_WITHOUT = """
import importlib, sys

class Without:
    def __init__(self, finder):
        self.finder = finder

    def find_spec(self, name, path=None, target=None):
        if name.partition(".")[0] in sys.argv[2:]:
            return None
        return self.finder.find_spec(name, path, target)

    def __getattr__(self, name):
        return getattr(self.finder, name)

sys.meta_path[:] = [Without(finder) for finder in sys.meta_path]
importlib.import_module(sys.argv[1])
"""


def _normalized(name: str) -> str:
    return re.sub(r"[-_.]+", "-", name).lower()


def _requires(name: str) -> list[str]:
    """Return what a distribution requires; empty if it is not installed."""
    try:
        return metadata.requires(name) or []
    except metadata.PackageNotFoundError:
        return []


def _installed_by(requirements: Path) -> set[str]:
    """Return the distributions in the requirements file, and all that they require."""
    lines = requirements.read_text("utf-8").split()
    pending = [_normalized(line.partition("==")[0]) for line in lines]
    found: set[str] = set()
    while pending:
        name = pending.pop()
        if name in found:
            continue
        found.add(name)
        for required in _requires(name):
            if "extra ==" not in required:
                pending.append(_normalized(re.split(r"[^\w.-]", required, maxsplit=1)[0]))
    return found


class DeployTest(unittest.TestCase):
    def test_programs_start_with_what_the_deploy_file_installs(self) -> None:
        listed = _installed_by(ROOT / "deploy" / "requirements.txt")
        missing = [
            module
            for module, names in metadata.packages_distributions().items()
            if module != "chestnutfall" and not listed & {_normalized(name) for name in names}
        ]
        self.assertIn("statsd", missing)
        for program in PROGRAMS:
            with self.subTest(program):
                command = [sys.executable, "-c", IMPORT_WITHOUT, program, *missing]
                done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
                self.assertEqual((done.returncode, done.stderr), (0, ""))

    def test_programs_start_without_the_libraries_of_the_others(self) -> None:
        """Imports that these programs do not need would double the start time of a gateway.

        After a power loss of all hosts every caller waits for that start. pydantic and expression
        check the settings of other programs only.
        """
        for program in PROGRAMS:
            with self.subTest(program):
                command = [sys.executable, "-c", IMPORT_WITHOUT, program, "pydantic", "expression"]
                done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
                self.assertEqual((done.returncode, done.stderr), (0, ""))
