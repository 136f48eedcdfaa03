"""The tests of a run by their outcome."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class Outcomes:
    """Names of the tests that passed, and of those that failed.

    A test counts as failed if one of its sub-tests failed.
    """

    passed: frozenset[str] = frozenset()
    failed: frozenset[str] = frozenset()

    def __or__(self, other: Outcomes) -> Outcomes:
        failed = self.failed | other.failed
        return Outcomes((self.passed | other.passed) - failed, failed)

    def write(self, path: Path) -> None:
        """Write the names to a file."""
        names = {"passed": sorted(self.passed), "failed": sorted(self.failed)}
        path.write_text(json.dumps(names), "utf-8")

    @classmethod
    def read(cls, path: Path) -> Outcomes:
        """Read the names that `write` wrote.

        Raises
        ------
        FileNotFoundError
            When the run ended before it could write them.
        """
        names = json.loads(path.read_text("utf-8"))
        return cls(frozenset(names["passed"]), frozenset(names["failed"]))
