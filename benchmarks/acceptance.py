"""How long the leader needs to judge one change.

`python -m benchmarks.acceptance` adds a version to one adapter of an office with 4 sites. The
leader's loop stands still meanwhile, so this must stay far below its lease of 540 ms.
"""

from __future__ import annotations

import time
from types import SimpleNamespace
from typing import Any

from chestnutfall.clock import SystemClock
from chestnutfall.config.layered_config import BASE_LAYER
from chestnutfall.control.operator_service import OperatorService

from .slope import fit
from .slopes import _state

SITES = 4
SIZES = (3_000, 10_000, 30_000)
TIMES = 5


def _judge_ms(adapters: int) -> float:
    state = _state(adapters, SITES)
    replica: Any = SimpleNamespace()
    desk = OperatorService(replica, state, replica, SystemClock(), "")
    version = {"versions": {"9": "sha256:" + "ab" * 32}}
    patches = {BASE_LAYER: {"adapters": {"oficina-0-tarea-0": version}}}
    started = time.perf_counter()
    for _ in range(TIMES):
        assert not list(desk._validation_errors(patches))
    return (time.perf_counter() - started) * 1000 / TIMES


def main() -> None:
    """Print one table."""
    print("| what | slope | fixed | residual | points |\n|---|---|---|---|---|")
    points = [(size, _judge_ms(size)) for size in SIZES]
    print(fit(f"judging a change, {SITES} sites", "ms an adapter", points).row())


if __name__ == "__main__":
    main()
