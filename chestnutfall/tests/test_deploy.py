"""The platform's programs must start with the libraries that the deploy file installs.

The deploy file installs a short list. If a module that the programs import, even indirectly, needs
another library, every program exits at once on a clean host. Where that library happens to be
installed for another purpose, the fault does not show.
"""

from __future__ import annotations

import functools
import re
import subprocess
import sys
import tomllib
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
LAUNCH = """
import asyncio, gc, sys
from chestnutfall.programs import event_loop, launch

async def work(stop):
    print(gc.isenabled())
    print(*sys.modules)
    return 0

def run(program):
    print(program.__module__)
    print(gc.isenabled())
    event_loop_run(work)

event_loop_run, event_loop.run = event_loop.run, run
no_file = type(sys)("node_file")
no_file.__getattr__ = lambda name: lambda: None
sys.modules["chestnutfall.platform.node_file"] = no_file
sys.argv = ["launch", sys.argv[1]]
launch.main()
"""
SIGNALLED = """
import os, signal, sys
from chestnutfall.programs import launch

class Program:
    def main():
        os.kill(os.getpid(), signal.SIGHUP)
        print("started")

sys.modules["chestnutfall.platform.gateway"] = Program
sys.argv = ["launch", "gateway"]
launch.main()
"""
NEVER_IMPORTED = (
    "aiohttp.web_app",
    "aiohttp.web_urldispatcher",
    "chestnutfall.caller_edge",
    "chestnutfall.engine_edge",
    "chestnutfall.operators",
    "chestnutfall.plain_edge",
    "cryptography",
    "numpy",
    "opentelemetry",
    "statsd",
)
"""The product's own interface, aiohttp's applications, and libraries of other programs."""
NOT_IMPORTED_BY = {
    "chestnutfall.platform.gateway": (
        "chestnutfall.consensus",
        "chestnutfall.control.commands",
        "chestnutfall.control.messages",
        "chestnutfall.placement.placer",
        "json_merge_patch",
    ),
    "chestnutfall.platform.controller": (
        "chestnutfall.control.messages",
        "chestnutfall.forwarding",
    ),
}
"""Modules of the other program, among them some forty messages of the control plane."""


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


@functools.cache
def _launch(program: str) -> tuple[str, ...]:
    """Launch a program whose event loop ends at once.

    Returns its module, whether the collector is enabled before the loop and in it, and the names of
    all modules.
    """
    role = program.rpartition(".")[2]
    command = [sys.executable, "-c", LAUNCH, role]
    done = subprocess.run(command, cwd=ROOT, stdout=subprocess.PIPE, text=True, check=True)
    return tuple(done.stdout.splitlines())


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

    def test_programs_import_nothing_that_only_other_programs_use(self) -> None:
        """A start takes as long as its imports, and all hosts start together after a power loss.

        A module that imports one of these for a single name would pass every other test.
        """
        for program in PROGRAMS:
            with self.subTest(program):
                modules = set(_launch(program)[-1].split())
                self.assertEqual(modules & {*NEVER_IMPORTED, *NOT_IMPORTED_BY[program]}, set())

    def test_collector_is_off_until_the_program_is_imported(self) -> None:
        """It would traverse what the imports create again and again, and find nothing."""
        for program in PROGRAMS:
            with self.subTest(program):
                self.assertEqual(_launch(program)[:3], (program, "False", "True"))

    # Guards against a gateway that ends without a log line when its settings file changes while it
    # starts: until the program handles SIGHUP, the signal ends the process.
    def test_sighup_during_the_start_does_not_end_a_program(self) -> None:
        command = [sys.executable, "-c", SIGNALLED]
        done = subprocess.run(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
        self.assertEqual((done.returncode, done.stdout), (0, "started\n"))

    def test_deploy_file_starts_each_program_without_site(self) -> None:
        """`site` searches the host's packages, which no program uses, at each start."""
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text("utf-8"))["roles"]
        for role, specified in roles.items():
            launch = f"python3 -S -m chestnutfall.programs.launch {role}"
            self.assertEqual(specified["run"], launch)
