"""Cost of sending the list of upstreams to every gateway, whole at each change or as changes.

One upstream in a hundred starts or stops each second. `python -m benchmarks.dissemination` prints,
for several sizes and both ways: KB per second that a gateway receives; the fraction of a link of
5 Mbit/s that this takes; MB per second that the leader sends; ms that the whole list for a new
gateway takes on the link; and processor ms per second of the leader. Nothing is sent: the messages
are built and encoded as the leader does.
"""

from __future__ import annotations

import time
from collections.abc import Iterator

from chestnutfall.control.upstream_record import UpstreamRecord, incarnation_key
from chestnutfall.coordination.messages import FLEET_CODEC, UpstreamsChange
from chestnutfall.coordination.upstream_views import UpstreamViews

SIZES = ((30, 300), (100, 1_000), (300, 3_000), (410, 1_600), (1_000, 10_000))
"""Numbers of gateways and of upstreams."""
CHANGED_FRACTION_PER_S = 0.01
"""Fraction of the upstreams that start or stop per second, as while a service is replaced."""
UPDATES_PER_S = 20
"""Most updates per second that the leader sends to each gateway."""
LINK_BYTES_PER_MS = 625
"""5 Mbit/s, for all traffic of a gateway."""
STARTED_MS = 1_796_270_000_000
"""Start of every upstream, as a Unix time."""
SECONDS = 3


def _record(number: int) -> UpstreamRecord:
    # The multiplier is odd, so that names are distinct; they are in no order, as in a deployment.
    name = f"i-{number * 2_654_435_761 % 2**32:08x}"
    address = f"10.{number % 6}.{number // 250 % 250}.{number % 250}:8642"
    key = incarnation_key(name, STARTED_MS)
    return UpstreamRecord(key, f"service{number % 2}", address, "dc-1", False, name, STARTED_MS)


def _serving_at_updates(upstreams: int) -> Iterator[list[UpstreamRecord]]:
    """Yield the serving upstreams at each update."""
    serving = [_record(number) for number in range(upstreams)]
    next_number = upstreams
    due_changes = 0.0
    for _ in range(SECONDS * UPDATES_PER_S):
        due_changes += upstreams * CHANGED_FRACTION_PER_S / UPDATES_PER_S
        while due_changes >= 1:
            due_changes -= 1
            serving = [*serving[1:], _record(next_number)]
            next_number += 1
        yield serving


def _as_changes(upstreams: int) -> tuple[int, int, float]:
    """Send only changes; return bytes to a gateway, bytes to a new gateway, processor seconds."""
    views = UpstreamViews()
    list(views.change_to(_record(number) for number in range(upstreams)))
    sent_bytes = 0
    started_s = time.process_time()
    for serving in _serving_at_updates(upstreams):
        sent_bytes += sum(len(FLEET_CODEC.encode(change)) for change in views.change_to(serving))
    spent_s = time.process_time() - started_s
    join_bytes = sum(len(FLEET_CODEC.encode(part)) for part in views.whole())
    return sent_bytes, join_bytes, spent_s


def _as_whole_lists(upstreams: int) -> tuple[int, int, float]:
    """Send the whole list at each change; return the same figures as `_as_changes`."""
    sent_bytes = join_bytes = 0
    before: list[UpstreamRecord] = []
    started_s = time.process_time()
    for serving in _serving_at_updates(upstreams):
        if serving is not before:
            join_bytes = len(FLEET_CODEC.encode(UpstreamsChange(tuple(serving), ())))
            sent_bytes += join_bytes
            before = serving
    return sent_bytes, join_bytes, time.process_time() - started_s


def main() -> None:
    """Print a line for each size and way of sending."""
    print("gateways upstreams way      KB/s  link  leader MB/s  join ms  leader ms/s")
    for gateways, upstreams in SIZES:
        for name, measure in (("whole", _as_whole_lists), ("changes", _as_changes)):
            sent_bytes, join_bytes, spent_s = measure(upstreams)
            bytes_per_s = sent_bytes / SECONDS
            print(
                f"{gateways:8d} {upstreams:9d} {name:8s}{bytes_per_s / 1000:5.0f} "
                f"{bytes_per_s / LINK_BYTES_PER_MS / 1000:5.2f} "
                f"{bytes_per_s * gateways / 1e6:12.2f} "
                f"{join_bytes / LINK_BYTES_PER_MS:8.0f} {spent_s * 1000 / SECONDS:12.1f}"
            )


if __name__ == "__main__":
    main()
