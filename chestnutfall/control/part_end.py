"""The end of an engine, and the suspect prompt parts that it ran."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from .run_parts import RunParts

MAX_RUNS = 64
"""Runs kept of one end; more than most engines run at once."""


@dataclass(frozen=True, slots=True)
class PartEnd:
    """The end of one engine.

    Attributes
    ----------
    service : str
        Service of the engine.
    runs : tuple of RunParts
        Requests that it ran.
    overlapping : tuple of str
        Parts for which the end is no further evidence, since it overlaps another one.
    unplaced : bool
        Whether no leader that knew the ends before placed what it ran.
    """

    service: str = ""
    runs: tuple[RunParts, ...] = ()
    overlapping: tuple[str, ...] = ()
    unplaced: bool = False

    def parts(self) -> set[str]:
        """Return the parts of all its requests."""
        return {part for run in self.runs for part in run.parts}

    def ran_together(self, parts: Iterable[str]) -> bool:
        """Whether one of its requests has all of these parts."""
        wanted = set(parts)
        return any(wanted.issubset(run.parts) for run in self.runs)

    def with_runs(self, runs: Iterable[RunParts], overlapping: Iterable[str]) -> PartEnd:
        """Return the end with more requests; known ones, and known parts, stay as they are.

        A gateway that connects to a new leader late sends its report of an end that is stored by
        then. To that leader the end may seem to overlap a later one.
        """
        known, known_parts = {run.fingerprint for run in self.runs}, self.parts()
        new = [run for run in runs if run.fingerprint not in known]
        more = [part for part in overlapping if part not in known_parts]
        return replace(
            self,
            runs=(*self.runs, *new)[:MAX_RUNS],
            overlapping=tuple(dict.fromkeys((*self.overlapping, *more))),
        )

    def without(self, parts: set[str]) -> PartEnd:
        """Return the end without some parts, and without requests that have no other ones."""
        runs = (
            RunParts(run.fingerprint, tuple(one for one in run.parts if one not in parts))
            for run in self.runs
        )
        overlapping = tuple(one for one in self.overlapping if one not in parts)
        left = tuple(run for run in runs if run.parts)
        return replace(self, runs=left, overlapping=overlapping)
