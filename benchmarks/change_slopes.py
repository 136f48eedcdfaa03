"""Processor time of a change of the configuration, by the number of adapters."""

from __future__ import annotations

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


def _mean_us(work: Callable[[], Any], times: int) -> float:
    """Return the mean processor time of one call, µs."""
    before = cpu_us()
    for _ in range(times):
        work()
    return (cpu_us() - before) / times


def change_slopes() -> list[Slope]:
    """Measure changes, validation and snapshots at each size of `ADAPTERS`."""
    leader, gateway, whole, validating, dump, restore = [], [], [], [], [], []
    for size in ADAPTERS:
        state = state_of(size)
        patch = {"adapters": {"oficina-0-tarea-0": {"versions": {"9": "sha256:" + "ab" * 32}}}}
        numbers = iter(range(1, 10_000))

        def one_change(state: ControlState = state, numbers: Any = numbers, p: Any = patch) -> None:
            number = next(numbers)
            state.apply(number + 1, change(number, p, state.revision))

        leader.append((size, _mean_us(one_change, 200)))
        layers = LayeredConfig(json.loads(json.dumps(state.layers.layers)))
        site = SiteConfig(SITE, layers)
        typed = TypedConfig()
        names = list(layers.names(SITE))
        whole.append((size, _mean_us(lambda t=typed, s=site, n=names: t.update(s.entries, n), 1)))

        def one_delta(
            layers: LayeredConfig = layers,
            site: SiteConfig = site,
            typed: TypedConfig = typed,
            p: Any = patch,
        ) -> None:
            touched = layers.apply({BASE_LAYER: p})
            site.update(layers, touched)
            typed.update(site.entries, touched)

        gateway.append((size, _mean_us(one_delta, 200)))
        entries = site.entries
        validating.append(
            (size, _mean_us(lambda e=entries, n=names: validate_site(SITE, e, {}, n), 1))
        )
        data = state.dump()
        dump.append((size, _mean_us(lambda s=state: s.dump(), 1)))
        restore.append((size, _mean_us(lambda d=data: ControlState().restore(d), 1)))
    per = "µs per adapter present"
    return [
        fit("a change applied by a controller (one site)", per, leader),
        fit("a change applied by a gateway", per, gateway),
        fit("a whole configuration taken over by a gateway", per, whole),
        fit("validation of a whole new site", per, validating),
        fit("snapshot written", per, dump),
        fit("snapshot read", per, restore),
    ]
