"""What telling every gateway of every upstream costs, whole at each change or as changes.

`python -m benchmarks.dissemination`: for some sizes and both ways, KB a second that a gateway gets
while one upstream in a hundred comes or goes each second, the part of a link of 5 Mbit/s that this
is, MB a second out of the leader, ms of link until a gateway that joins knows all, and the leader's
processor ms a second. Nothing is sent; messages are made and encoded as the leader makes them.
"""

from __future__ import annotations

import time
from collections.abc import Iterator

from chestnutfall.control.upstream_record import UpstreamRecord, incarnation_key
from chestnutfall.coordination.messages import FLEET_CODEC, UpstreamsChange
from chestnutfall.coordination.upstream_views import UpstreamViews

SIZES = ((30, 300), (100, 1_000), (300, 3_000), (410, 1_600), (1_000, 10_000))
CHANGING_A_S = 0.01
"""Part of the upstreams that come or go in a second, as while a service is replaced."""
LOOKS_A_S = 20
"""How often the leader tells what changed, at most."""
LINK_BYTES_PER_MS = 625
STARTED_MS = 1_796_270_000_000
SECONDS = 3


def _record(number: int) -> UpstreamRecord:
    name = f"i-{number * 2_654_435_761 % 2**32:08x}"
    address = f"10.{number % 6}.{number // 250 % 250}.{number % 250}:8642"
    key = incarnation_key(name, STARTED_MS)
    return UpstreamRecord(key, f"service{number % 2}", address, "dc-1", False, name, STARTED_MS)


def _rounds(upstreams: int) -> Iterator[list[UpstreamRecord]]:
    """Yield the upstreams that serve, at each look of some seconds."""
    serving = [_record(number) for number in range(upstreams)]
    following = upstreams
    owed = 0.0
    for _ in range(SECONDS * LOOKS_A_S):
        owed += upstreams * CHANGING_A_S / LOOKS_A_S
        while owed >= 1:
            owed -= 1
            serving = [*serving[1:], _record(following)]
            following += 1
        yield serving


def _as_changes(upstreams: int) -> tuple[int, int, float]:
    """Bytes a gateway gets, bytes of a join, and processor seconds."""
    views = UpstreamViews()
    list(views.change_to(_record(number) for number in range(upstreams)))
    got = 0
    began = time.process_time()
    for serving in _rounds(upstreams):
        got += sum(len(FLEET_CODEC.encode(change)) for change in views.change_to(serving))
    spent_s = time.process_time() - began
    join = sum(len(FLEET_CODEC.encode(part)) for part in views.whole())
    return got, join, spent_s


def _whole(upstreams: int) -> tuple[int, int, float]:
    got = join = 0
    before: list[UpstreamRecord] = []
    began = time.process_time()
    for serving in _rounds(upstreams):
        if serving is not before:
            join = len(FLEET_CODEC.encode(UpstreamsChange(tuple(serving), ())))
            got += join
            before = serving
    return got, join, time.process_time() - began


def main() -> None:
    """Print a line for each size and way."""
    print("gateways upstreams way      KB/s  link  leader MB/s  join ms  leader ms/s")
    for gateways, upstreams in SIZES:
        for name, way in (("whole", _whole), ("changes", _as_changes)):
            got, join, spent_s = way(upstreams)
            a_second = got / SECONDS
            print(
                f"{gateways:8d} {upstreams:9d} {name:8s}{a_second / 1000:5.0f} "
                f"{a_second / LINK_BYTES_PER_MS / 1000:5.2f} {a_second * gateways / 1e6:12.2f} "
                f"{join / LINK_BYTES_PER_MS:8.0f} {spent_s * 1000 / SECONDS:12.1f}"
            )


if __name__ == "__main__":
    main()
