"""Prints the most that processes held while each crowd of clients was there.

`python -m benchmarks.crowds` plays the crowds of the tests, one after the other.
"""

from __future__ import annotations

import os

# The hosts forbid io_uring; libuv opens a ring unless this is set before a loop is created.
os.environ["UV_USE_IO_URING"] = "0"

import sys
import unittest
from collections.abc import Iterator

MODULES = ("bodies", "heads", "answers", "names", "mixed", "ports", "moments", "helpers", "own")


def main() -> int:
    """Play the crowds of the modules named on the command line, or all; return 0 if all held."""
    names = sys.argv[1:] or MODULES
    held = True
    for test in _tests(names):
        result = unittest.TestResult()
        test.run(result)
        held = held and result.wasSuccessful()
        most = getattr(test, "most", {})
        peaks = (f"{name} {one.memory_mb:.0f} MB {one.descriptors}" for name, one in most.items())
        outcome = "held" if result.wasSuccessful() else "NOT HELD"
        print(f"{test.id().rpartition('.')[2]}: {outcome}: {', '.join(peaks)}", flush=True)
    return 0 if held else 1


def _tests(names: tuple[str, ...] | list[str]) -> Iterator[unittest.TestCase]:
    loader = unittest.TestLoader()
    for name in names:
        suite = loader.loadTestsFromName(f"chestnutfall.tests.test_crowds_{name}")
        for group in suite:
            yield from group  # type: ignore[misc]


if __name__ == "__main__":
    sys.exit(main())
