"""A request that an engine ran at its end, and the suspect parts of its prompt."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RunParts:
    """A request that an engine ran at its end, by its digest, and the suspect parts of it."""

    fingerprint: str
    parts: tuple[str, ...]
