"""An adapter of a base model."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AdapterName:
    """Base model and adapter; an empty `adapter` is the base model itself."""

    model: str
    adapter: str
