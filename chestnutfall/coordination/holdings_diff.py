"""Messages on the adapters that engines hold."""

from __future__ import annotations

from collections.abc import Iterable

from ..placement import ReadyAdapter
from .messages import EngineHoldings, HoldingsChange

ENGINES_PER_PART = 128
"""About 16 KB: a link of 5 Mbit/s sends this in 25 ms, and urgent messages go in between."""


def holdings_change(
    whole: bool, added: Iterable[ReadyAdapter], dropped: Iterable[ReadyAdapter] = ()
) -> HoldingsChange:
    """Build a message of added and dropped adapters, grouped by engine and base model.

    Parameters
    ----------
    whole : bool
        Whether the message replaces all holdings that were sent before.
    added, dropped : iterable of ReadyAdapter
        Adapters; one that is in both counts as added.
    """
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
    """Return all holdings in parts; the first part replaces what was sent before."""
    engines = holdings_change(True, held).engines
    starts = range(0, max(len(engines), 1), ENGINES_PER_PART)
    return tuple(HoldingsChange(at == 0, engines[at : at + ENGINES_PER_PART]) for at in starts)
