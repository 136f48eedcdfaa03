"""Processor time of a change of the configuration, by the number of adapters."""

from __future__ import annotations

import itertools
import json
from collections.abc import Callable
from typing import Any

from chestnutfall.config.layered_config import BASE_LAYER, LayeredConfig
from chestnutfall.config.site_config import SiteConfig
from chestnutfall.config.typed_config import TypedConfig
from chestnutfall.config.validation import validate_site
from chestnutfall.control.control_state import ControlState

from .meter import cpu_us
from .sample_state import ADAPTERS, SITE, change, state_of
from .slope import Slope, fit

REPETITIONS = 200
"""Changes over which the processor time of one is averaged."""


def _mean_us(work: Callable[[], Any], times: int) -> float:
    """Return the mean processor time of one call, µs."""
    before = cpu_us()
    for _ in range(times):
        work()
    return (cpu_us() - before) / times


def _measure(adapters: int) -> dict[str, float]:
    """Return the processor time of each kind of work, µs, with `adapters` adapters present."""
    state = state_of(adapters)
    patch = {"adapters": {"oficina-0-tarea-0": {"versions": {"9": "sha256:" + "ab" * 32}}}}
    numbers = itertools.count(1)

    def change_state() -> None:
        number = next(numbers)
        state.apply(number + 1, change(number, patch, state.revision))

    controller_us = _mean_us(change_state, REPETITIONS)
    layers = LayeredConfig(json.loads(json.dumps(state.layers.layers)))
    site = SiteConfig(SITE, layers)
    typed = TypedConfig()
    names = list(layers.names(SITE))
    whole_us = _mean_us(lambda: typed.update(site.entries, names), 1)

    def change_gateway() -> None:
        touched = layers.apply({BASE_LAYER: patch})
        site.update(layers, touched)
        typed.update(site.entries, touched)

    gateway_us = _mean_us(change_gateway, REPETITIONS)
    validation_us = _mean_us(lambda: validate_site(SITE, site.entries, {}, names), 1)
    data = state.dump()
    return {
        "a change applied by a controller (one site)": controller_us,
        "a change applied by a gateway": gateway_us,
        "a whole configuration taken over by a gateway": whole_us,
        "validation of a whole new site": validation_us,
        "snapshot written": _mean_us(state.dump, 1),
        "snapshot read": _mean_us(lambda: ControlState().restore(data), 1),
    }


def change_slopes() -> list[Slope]:
    """Measure changes, validation and snapshots at each size of `ADAPTERS`."""
    measured = {size: _measure(size) for size in ADAPTERS}
    return [
        fit(what, "µs per adapter present", [(size, measured[size][what]) for size in ADAPTERS])
        for what in measured[ADAPTERS[0]]
    ]
