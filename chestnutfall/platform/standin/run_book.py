"""What upstreams ran, for checks from outside."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class RunBook:
    """Runs by request id, and ends of upstreams by the body that ended them."""

    runs: Counter[str] = field(default_factory=Counter)
    ends: Counter[bytes] = field(default_factory=Counter)
    wrong: list[str] = field(default_factory=list)

    def note_run(self, request_id: str) -> None:
        """Count a run."""
        self.runs[request_id] += 1

    def note_wrong(self, finding: str) -> None:
        """Note a broken promise that an upstream saw."""
        self.wrong.append(finding)
