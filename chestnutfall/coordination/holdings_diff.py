"""What changed in what engines hold."""

from __future__ import annotations

from collections.abc import Iterable

from ..placement import ReadyAdapter
from .messages import EngineHoldings, HoldingsChange

PART_ENGINES = 128
"""About 16 KB: a link of 5 Mbit/s carries it in 25 ms, and what is urgent goes in between."""


def holdings_change(
    whole: bool, added: Iterable[ReadyAdapter], dropped: Iterable[ReadyAdapter] = ()
) -> HoldingsChange:
    """Group added and dropped adapters by engine and base model."""
    grouped: dict[tuple[str, str], tuple[dict[str, int], list[str]]] = {}
    for held in added:
        place = held.instance, held.adapter.model
        grouped.setdefault(place, ({}, []))[0][held.adapter.adapter] = held.version
    for held in dropped:
        place = held.instance, held.adapter.model
        versions, names = grouped.setdefault(place, ({}, []))
        if held.adapter.adapter not in versions:
            names.append(held.adapter.adapter)
    return HoldingsChange(
        whole,
        tuple(
            EngineHoldings(instance, model, versions, tuple(names))
            for (instance, model), (versions, names) in grouped.items()
        ),
    )


def whole_holdings(held: Iterable[ReadyAdapter]) -> tuple[HoldingsChange, ...]:
    """All that engines hold, in parts; the first replaces what was told before."""
    engines = holdings_change(True, held).engines
    starts = range(0, max(len(engines), 1), PART_ENGINES)
    return tuple(HoldingsChange(at == 0, engines[at : at + PART_ENGINES]) for at in starts)
