"""Name of an adapter of a base model."""

from __future__ import annotations

from typing import NamedTuple


class AdapterName(NamedTuple):
    """Base model and adapter; an empty `adapter` is the base model itself.

    It is a named tuple because it is the key of most placement tables: the hash of a frozen data
    class runs in Python code and takes a third of the time of a decision round.
    """

    model: str
    adapter: str
