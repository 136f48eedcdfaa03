"""A clean host starts the platform's programs, and every one of them ends at once.

The deploy file installs a short list of libraries. A module that the programs import, however far
away, imports another library; where that one was installed for something else nobody notices.
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


def _normal(name: str) -> str:
    return re.sub(r"[-_.]+", "-", name).lower()


def _requires(name: str) -> list[str]:
    """What a distribution requires; nothing for one that this interpreter does not need."""
    try:
        return metadata.requires(name) or []
    except metadata.PackageNotFoundError:
        return []


def _installed_by(requirements: Path) -> set[str]:
    """Distributions that the list names, and all that these require."""
    lines = requirements.read_text("utf-8").split()
    pending = [_normal(line.partition("==")[0]) for line in lines]
    found: set[str] = set()
    while pending:
        name = pending.pop()
        if name in found:
            continue
        found.add(name)
        for required in _requires(name):
            if "extra ==" not in required:
                pending.append(_normal(re.split(r"[^\w.-]", required, maxsplit=1)[0]))
    return found


class DeployTest(unittest.TestCase):
    def test_programs_start_with_what_the_deploy_file_installs(self) -> None:
        listed = _installed_by(ROOT / "deploy" / "requirements.txt")
        missing = [
            module
            for module, names in metadata.packages_distributions().items()
            if module != "chestnutfall" and not listed & {_normal(name) for name in names}
        ]
        self.assertIn("statsd", missing)
        for program in PROGRAMS:
            with self.subTest(program):
                command = [sys.executable, "-c", IMPORT_WITHOUT, program, *missing]
                done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
                self.assertEqual((done.returncode, done.stderr), (0, ""))

    def test_programs_start_without_the_libraries_of_the_others(self) -> None:
        """After a power loss of all hosts every caller waits for these imports to end.

        pydantic and expression check the settings of other programs; imported here they double
        the time that a gateway takes to start.
        """
        for program in PROGRAMS:
            with self.subTest(program):
                command = [sys.executable, "-c", IMPORT_WITHOUT, program, "pydantic", "expression"]
                done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
                self.assertEqual((done.returncode, done.stderr), (0, ""))
