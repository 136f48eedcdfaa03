"""Record of what stand-in upstreams ran, against which soak runs and tests check the product."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from .signal_history import SignalHistory


def window_counts(times: Sequence[float], length: float) -> Iterator[tuple[float, int]]:
    """Yield each time, and the number of times in the window of `length` that ends with it.

    `times` must be in ascending order.
    """
    first = 0
    for last, end in enumerate(times):
        while times[first] <= end - length:
            first += 1
        yield end, last - first + 1


@dataclass(slots=True)
class RunRegistry:
    """What all stand-in upstreams of a deployment ran and signalled.

    Times are those of `time.monotonic`.

    Attributes
    ----------
    reached : dict of str to Counter of str
        How often each request id reached which upstream.
    arrived_s : dict of str to list of float
        When each request id reached an upstream.
    broken_off : set of str
        Request ids whose answers upstreams broke off, without a crash.
    runs : Counter of str
        Number of runs of each request id.
    ends : Counter of bytes
        Number of upstreams that crashed, by the body of the request that crashed them.
    violations : list of str
        Faults of gateways and controllers that upstreams saw.
    organisations : dict of str to str
        Organisation of each request id, as the gateway named it to the upstream.
    run_times_s : dict of str to list of float
        Times in seconds at which requests of each organisation ran.
    arrival_times_s : dict of str to list of float
        Times in seconds at which requests reached each upstream, refused ones included.
    rejection_times_s : dict of str to list of float
        Times in seconds at which each upstream rejected a request for want of room.
    falls : list of str
        Upstreams that crashed since they had to reject more than they bear.
    signals : dict of str to SignalHistory
        Signals that each upstream sent to gateways, and the requests that followed.
    fatal_parts : set of str
        Prompt parts that crash each engine that begins to write an answer on them.
    fatal_arrival_times_s : list of float
        Times in seconds at which requests with such a part reached engines.
    fatal_end_times_s : list of float
        Times in seconds at which engines crashed under such a part.
    """

    reached: dict[str, Counter[str]] = field(default_factory=dict)
    arrived_s: dict[str, list[float]] = field(default_factory=dict)
    broken_off: set[str] = field(default_factory=set)
    runs: Counter[str] = field(default_factory=Counter)
    ends: Counter[bytes] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    organisations: dict[str, str] = field(default_factory=dict)
    run_times_s: dict[str, list[float]] = field(default_factory=dict)
    arrival_times_s: dict[str, list[float]] = field(default_factory=dict)
    rejection_times_s: dict[str, list[float]] = field(default_factory=dict)
    falls: list[str] = field(default_factory=list)
    signals: dict[str, SignalHistory] = field(default_factory=dict)
    fatal_parts: set[str] = field(default_factory=set)
    fatal_arrival_times_s: list[float] = field(default_factory=list)
    fatal_end_times_s: list[float] = field(default_factory=list)

    def note_run(self, request_id: str, organisation: str) -> None:
        """Record that a request runs."""
        self.runs[request_id] += 1
        self.organisations[request_id] = organisation
        self.run_times_s.setdefault(organisation, []).append(time.monotonic())

    def note_reached(self, request_id: str) -> None:
        """Record that the head of a request reached an upstream, which may be silent then."""
        self.arrived_s.setdefault(request_id, []).append(time.monotonic())

    def note_arrival(self, instance: str, gateway: str, request_id: str = "") -> None:
        """Record that a request of `gateway` reached an upstream, whether or not it is refused."""
        self.reached.setdefault(request_id, Counter())[instance] += 1
        self.arrival_times_s.setdefault(instance, []).append(time.monotonic())
        self.signals_of(instance).note_arrival(gateway)

    def note_rejection(self, instance: str) -> int:
        """Record that an upstream rejects a request for want of room.

        Returns
        -------
        int
            Number of its rejections within the last second, this one included.
        """
        now_s = time.monotonic()
        times = self.rejection_times_s.setdefault(instance, [])
        times.append(now_s)
        return sum(one > now_s - 1.0 for one in times)

    def signals_of(self, instance: str) -> SignalHistory:
        """Return the history of an upstream; creates an empty one if there is none."""
        return self.signals.setdefault(instance, SignalHistory())

    def max_in_window(self, organisation: str, window_s: float) -> int:
        """Return the largest number of runs of an organisation in any window of `window_s`."""
        counts = window_counts(self.run_times_s.get(organisation, []), window_s)
        return max((count for _, count in counts), default=0)

    def note_violation(self, finding: str) -> None:
        """Record a fault of a gateway or controller that an upstream saw."""
        self.violations.append(finding)
