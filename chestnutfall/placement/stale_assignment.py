"""When a request that waits for its engine has to be placed anew."""

from __future__ import annotations

from .engine import Engine
from .suspect_parts import SuspectParts
from .waiting_request import WaitingRequest
from .wanted_versions import WantedVersions


def is_stale(
    waiting: WaitingRequest,
    engine: Engine | None,
    versions: WantedVersions,
    suspects: SuspectParts,
    now_ms: int,
) -> bool:
    """Whether a request's engine is no longer the one to run it.

    Its adapter got a newer version, the engine asked for backoff, or its prompt got a suspect part,
    each of them before it was sent.
    """
    if engine is None:
        return False
    held = engine.holdings.get(waiting.req.adapter)
    if held is not None and versions.is_outdated(waiting.req.adapter, held):
        return True
    backoff = engine.backoff
    if backoff.is_active(now_ms) and backoff.wait_ms(waiting.req.gateway, now_ms):
        return True
    if suspects.is_empty:
        return False
    return not suspects.is_placed(waiting.req.ticket, waiting.part_keys)
