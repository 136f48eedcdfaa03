"""How long the leader needs to validate one change of the configuration.

`python -m benchmarks.acceptance` adds a version to one adapter of a deployment with 4 sites. The
leader's event loop is blocked meanwhile, so this must stay far below the leader's lease of 540 ms.
"""

from __future__ import annotations

import time
from types import SimpleNamespace
from typing import Any

from chestnutfall.clock import SystemClock
from chestnutfall.config.layered_config import BASE_LAYER
from chestnutfall.control.operator_service import OperatorService

from .sample_state import state_of
from .slope import fit

SITES = 4
ADAPTER_COUNTS = (3_000, 10_000, 30_000)
REPETITIONS = 5


def _validation_ms(adapters: int) -> float:
    state = state_of(adapters, SITES)
    replica: Any = SimpleNamespace()
    operator_service = OperatorService(replica, state, replica, SystemClock(), "")
    version = {"versions": {"9": "sha256:" + "ab" * 32}}
    patches = {BASE_LAYER: {"adapters": {"oficina-0-tarea-0": version}}}
    started = time.perf_counter()
    for _ in range(REPETITIONS):
        assert not list(operator_service._validation_errors(patches))
    return (time.perf_counter() - started) * 1000 / REPETITIONS


def main() -> None:
    """Print the slope over the number of adapters as one Markdown table."""
    print("| what | slope | fixed | residual | points |\n|---|---|---|---|---|")
    points = [(size, _validation_ms(size)) for size in ADAPTER_COUNTS]
    print(fit(f"judging a change, {SITES} sites", "ms an adapter", points).row())


if __name__ == "__main__":
    main()
