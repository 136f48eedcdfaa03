"""What telling every gateway of every upstream costs, by the number of upstreams.

`python -m benchmarks.view_size`: bytes of one whole view, and the time to make and to read it.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from functools import partial

from chestnutfall.control.upstream_record import UpstreamRecord, incarnation
from chestnutfall.coordination.messages import FLEET_CODEC, FleetView

SIZES = (37, 300, 1_000, 1_600, 3_000)
ROUNDS = 20
STARTED_MS = 1_796_270_000_000
"""Some Unix time of a start; its digits are part of every name."""


def _view(upstreams: int) -> FleetView:
    names = (f"i-{number:010x}" for number in range(upstreams))
    records = (
        UpstreamRecord(
            incarnation(name, STARTED_MS),
            "service",
            f"10.{number % 6}.64.{number % 250}:8642",
            "a-data-centre",
            False,
            name,
            STARTED_MS,
        )
        for number, name in enumerate(names)
    )
    return FleetView(tuple(records), ("10.1.0.15:8641",) * 5)


def _least_ms(works: Iterable[Callable[[], object]]) -> float:
    taken_ms = []
    for work in works:
        began = time.perf_counter()
        work()
        taken_ms.append((time.perf_counter() - began) * 1000)
    return min(taken_ms)


def main() -> None:
    """Print a line for each size."""
    print("upstreams    bytes  encode ms  decode ms")
    for upstreams in SIZES:
        # Encoded once for all gateways, so only a view that is new costs anything.
        views = [_view(upstreams) for _ in range(ROUNDS)]
        encode_ms = _least_ms(partial(FLEET_CODEC.encode, view) for view in views)
        data = FLEET_CODEC.encode(views[0])
        decode_ms = _least_ms(partial(FLEET_CODEC.decode, data) for _ in views)
        print(f"{upstreams:9d} {len(data):8d} {encode_ms:10.2f} {decode_ms:10.2f}")


if __name__ == "__main__":
    main()
