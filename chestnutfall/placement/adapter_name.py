"""An adapter of a base model."""

from __future__ import annotations

from typing import NamedTuple


class AdapterName(NamedTuple):
    """Base model and adapter; an empty `adapter` is the base model itself.

    A named tuple, since it is the key of most tables of placement: a frozen data class is hashed
    by Python code, which took a third of a round of decisions (`benchmarks.placement`, 620 a
    second: 0.70 ms a request before, 0.49 after).
    """

    model: str
    adapter: str
