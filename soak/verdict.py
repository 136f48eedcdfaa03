"""The result of a soak run."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class Verdict:
    """Counts of events and the violated guarantees of a run.

    Attributes
    ----------
    counts : Counter of str
        Number of events by description, for the report.
    violations : list of str
        One description for each violation that was noted; empty if the run passed.
    """

    counts: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)

    def note_violation(self, violated: bool, finding: str) -> None:
        """Add `finding` to the violations if `violated`."""
        if violated:
            self.violations.append(finding)

    def lines(self) -> list[str]:
        """Return the report: counts by name, then the violations."""
        counted = [f"{name}: {count}" for name, count in sorted(self.counts.items())]
        return [*counted, *(f"BROKEN {finding}" for finding in self.violations)]
