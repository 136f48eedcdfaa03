"""What a run showed."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class Verdict:
    """Counts of what happened, and every broken promise."""

    counts: Counter[str] = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)

    def note(self, broken: bool, finding: str) -> None:
        """Note a finding if a promise was broken."""
        if broken:
            self.broken.append(finding)

    def lines(self) -> list[str]:
        """The report."""
        counted = [f"{name}: {count}" for name, count in sorted(self.counts.items())]
        return [*counted, *(f"BROKEN {finding}" for finding in self.broken)]
