"""Whether there is anything to decide about a request whose adapter is being loaded."""

from __future__ import annotations

from .engine import Engine
from .engine_costs import RELAY_DELAY_MS
from .waiting_request import WaitingRequest
from .wanted_versions import WantedVersions


def only_awaits_load(
    waiting: WaitingRequest, engine: Engine | None, versions: WantedVersions, now_ms: int
) -> bool:
    """Whether a decision round can pass over a request that is assigned to `engine`.

    Where a third of the requests need a load, most of the queue waits for one in each round.
    """
    held = engine.holdings.get(waiting.req.adapter) if engine is not None else None
    if engine is None or held is None or held.is_ready(now_ms):
        return False
    if engine.backoff.is_active(now_ms) or engine.is_ejected(now_ms):
        return False
    # The least time to the first event of all engines is no longer than this engine's.
    first_ms = engine.prefill.first_ms + waiting.req.prompt_tokens * engine.prefill.ms_per_token
    left_ms = waiting.since_ms + waiting.req.wait_ms - now_ms
    has_time = left_ms >= RELAY_DELAY_MS + first_ms
    return has_time and not versions.is_outdated(waiting.req.adapter, held)
