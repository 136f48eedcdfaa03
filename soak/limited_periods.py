"""The periods in which a gateway closed new connections unread, as it logged them."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from datetime import datetime

LIMITED, NOT_LIMITED = "connections: limited", "connections: no longer limited"
STARTED = "gateway: started"
LONGEST_S = 30.0
"""A period whose end isn't logged, since its process ended or dropped lines, counts for so long."""


def limited_periods(log_text: str) -> list[tuple[float, float]]:
    """Return the beginnings and ends of these periods, as times of `time.monotonic`."""
    periods: list[tuple[float, float]] = []
    began_s: float | None = None
    for at_s, message in _lines(log_text):
        if began_s is not None:
            periods.append((began_s, min(at_s, began_s + LONGEST_S)))
            began_s = None
        if message.startswith(LIMITED):
            began_s = at_s
    if began_s is not None:
        periods.append((began_s, began_s + LONGEST_S))
    return periods


def _lines(log_text: str) -> Iterator[tuple[float, str]]:
    """Yield time and message of each line about the limit, or a start of the process."""
    ahead_s = time.time() - time.monotonic()
    for line in log_text.splitlines():
        if any(what in line for what in (LIMITED, NOT_LIMITED, STARTED)):
            try:
                fields = json.loads(line)
            except ValueError:
                # Its process was killed as it wrote it.
                continue
            at = datetime.strptime(fields["time"], "%Y-%m-%d %H:%M:%S,%f")
            yield at.timestamp() - ahead_s, fields["message"]
