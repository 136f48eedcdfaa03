"""What changed in what engines hold."""

from __future__ import annotations

from collections.abc import Iterable

from ..placement import Held
from .messages import EngineHoldings, HoldingsChange


def holdings_change(
    whole: bool, added: Iterable[Held], dropped: Iterable[Held] = ()
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
