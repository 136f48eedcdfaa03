"""What is known of the parts of the prompts that an engine ran at its end."""

from __future__ import annotations

from dataclasses import dataclass

from .run_parts import RunParts


@dataclass(frozen=True, slots=True)
class PartFindings:
    """What is known of the parts that an engine ran at its end, when the end is stored.

    Attributes
    ----------
    runs : tuple of RunParts
        Requests with parts that are suspect.
    overlapping : tuple of str
        Suspect parts for which the end overlaps an earlier one.
    cleared : tuple of str
        Parts that are not the cause.
    known : tuple of str
        Suspect parts that were answered shortly before the end.
    """

    runs: tuple[RunParts, ...]
    overlapping: tuple[str, ...]
    cleared: tuple[str, ...]
    known: tuple[str, ...] = ()
