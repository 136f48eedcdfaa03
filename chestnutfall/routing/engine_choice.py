"""Choice of the engine whose owner is asked for a ticket."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import mmh3

from ..membership import Upstream
from ..ownership import EngineView

LOAD_COST = 1.5
"""Cost of loading an adapter, in full batches queued ahead."""
DISTANCE_COST = 0.1
"""Cost of an engine in another data centre, in full batches queued ahead."""
WAIT_COST_PER_S = 1.0
"""Cost of one second's wait at an engine with a rate limit, in full batches queued ahead."""
_HASH_RANGE = float(1 << 64)
HASH_COST = 0.5
"""Most that the hash adds to the cost of a load, in full batches queued ahead."""


def engine_candidates(
    upstreams: Iterable[Upstream],
    views: Iterable[EngineView],
    adapter: str,
    data_centre: str,
    batch: int,
) -> Iterator[Upstream]:
    """Yield engines that may run `adapter`, the best first.

    Engines are compared by load, by whether they hold the adapter, by the wait for their rate
    limit, and by data centre.

    Parameters
    ----------
    upstreams : iterable of Upstream
        Serving engines of the service.
    views : iterable of EngineView
        States that the owners publish; engines without one can't grant tickets.
    data_centre : str
        Data centre of this gateway.
    batch : int
        Requests that one engine runs at once.
    """
    by_engine = {view.engine: view for view in views}
    scored = [
        (_cost(by_engine[up.name], up, adapter, data_centre, batch), up.name, up)
        for up in upstreams
        if up.name in by_engine
    ]
    yield from (up for _, _, up in sorted(scored, key=lambda item: item[:2]))


def _cost(view: EngineView, up: Upstream, adapter: str, data_centre: str, batch: int) -> float:
    cost = (view.running + view.waiting) / batch
    if adapter not in view.ready:
        # Gateways that miss an adapter at the same moment should load it on the same engine. The
        # hash gives each adapter a preferred engine on which they all agree.
        preference: int = mmh3.hash64(f"{adapter}|{view.engine}", signed=False)[0]
        cost += LOAD_COST + HASH_COST * preference / _HASH_RANGE
    cost += WAIT_COST_PER_S * view.send_wait_ms / 1000
    if up.announcement.data_centre != data_centre:
        cost += DISTANCE_COST
    return cost
