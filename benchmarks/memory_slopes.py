"""Memory for each adapter and claim, as the growth of a new process that holds them."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Callable

from chestnutfall.config.layered_config import BASE_LAYER, LayeredConfig
from chestnutfall.config.site_config import SiteConfig
from chestnutfall.config.typed_config import TypedConfig
from chestnutfall.control.control_state import ControlState

from .meter import resident_bytes
from .sample_state import ADAPTERS, SITE, base_layer, change, claim
from .slope import Slope, fit


def measurements() -> dict[str, Callable[[int], float]]:
    """Return the measurements by name; each takes a number of objects and returns bytes."""
    return {"gateway": _gateway_memory, "controller": _controller_memory, "claims": _claim_memory}


def _gateway_memory(adapters: int) -> float:
    base = base_layer(adapters)
    text = json.dumps({BASE_LAYER: base})
    # The configuration is decoded after `before`, so that the growth holds all of it.
    del base
    before = resident_bytes()
    layers = LayeredConfig(json.loads(text))
    site = SiteConfig(SITE, layers)
    typed = TypedConfig()
    typed.update(site.entries, layers.names(SITE))
    return float(resident_bytes() - before)


def _controller_memory(adapters: int) -> float:
    data = change(0, base_layer(adapters), 0)
    before = resident_bytes()
    state = ControlState()
    state.apply(1, data)
    return float(resident_bytes() - before)


def _claim_memory(claims: int) -> float:
    state = ControlState()
    before = resident_bytes()
    for number in range(claims):
        state.apply(number + 1, claim(number))
    return float(resident_bytes() - before)


def memory_slopes() -> list[Slope]:
    """Measure each size in a new process, where no memory was freed and reused before."""
    series = (
        ("gateway", "adapter in a gateway", ADAPTERS),
        ("controller", "adapter in a controller (one site)", ADAPTERS),
        ("claims", "claim in a controller", (20_000, 60_000, 180_000)),
    )
    return [
        fit(what, "bytes resident", [(size, _in_new_process(kind, size)) for size in sizes])
        for kind, what, sizes in series
    ]


def _in_new_process(kind: str, size: int) -> float:
    command = [sys.executable, "-m", "benchmarks.memory_slopes", kind, str(size)]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    return float(json.loads(done.stdout))


if __name__ == "__main__":
    print(json.dumps(measurements()[sys.argv[1]](int(sys.argv[2]))))
