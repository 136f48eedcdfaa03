"""What upstreams ran, for checks from outside."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from .signal_history import SignalHistory


def window_counts(moments: Sequence[float], length: float) -> Iterator[tuple[float, int]]:
    """Yield each moment, in their order, and how many lie in the window that ends there."""
    first = 0
    for last, end in enumerate(moments):
        while moments[first] <= end - length:
            first += 1
        yield end, last - first + 1


@dataclass(slots=True)
class RunBook:
    """Runs by request id, and ends of upstreams by the body that ended them.

    Attributes
    ----------
    organisations : dict of str to str
        Whose request each was, as its upstream was told.
    moments : dict of str to list of float
        When requests of each organisation ran, in seconds.
    arrivals : dict of str to list of float
        When requests came to each upstream, in seconds, also those that it refused.
    signals : dict of str to SignalHistory
        What each upstream asked of gateways.
    """

    runs: Counter[str] = field(default_factory=Counter)
    ends: Counter[bytes] = field(default_factory=Counter)
    wrong: list[str] = field(default_factory=list)
    organisations: dict[str, str] = field(default_factory=dict)
    moments: dict[str, list[float]] = field(default_factory=dict)
    arrivals: dict[str, list[float]] = field(default_factory=dict)
    signals: dict[str, SignalHistory] = field(default_factory=dict)

    def note_run(self, request_id: str, organisation: str) -> None:
        """Count a run."""
        self.runs[request_id] += 1
        self.organisations[request_id] = organisation
        self.moments.setdefault(organisation, []).append(time.monotonic())

    def note_arrival(self, instance: str, gateway: str) -> None:
        """Count a request that came to an upstream."""
        self.arrivals.setdefault(instance, []).append(time.monotonic())
        self.signals_of(instance).note_arrival(gateway)

    def signals_of(self, instance: str) -> SignalHistory:
        """What an upstream asked of gateways, begun if it asked nothing yet."""
        return self.signals.setdefault(instance, SignalHistory())

    def most_in_window(self, organisation: str, window_s: float) -> int:
        """Most runs of an organisation in any window."""
        counts = window_counts(self.moments.get(organisation, []), window_s)
        return max((count for _, count in counts), default=0)

    def note_wrong(self, finding: str) -> None:
        """Note a broken promise that an upstream saw."""
        self.wrong.append(finding)
