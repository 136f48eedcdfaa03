"""What each stand-in upstream announces."""

from __future__ import annotations

from typing import Any

from ..settings.engine_settings import EngineSettings
from ..settings.plain_settings import PlainSettings


def announced_fields(
    settings: EngineSettings | PlainSettings, incarnation: str, ttl_ms: int, leaving: bool
) -> dict[str, Any]:
    """Return the members of an announcement that engines and plain upstreams share.

    Parameters
    ----------
    ttl_ms : int
        How long gateways take the announcement as valid.
    """
    return {
        "name": settings.name,
        "service": settings.service,
        "data_centre": settings.data_centre,
        "address": settings.listen,
        "incarnation": incarnation,
        "ttl_ms": ttl_ms,
        "state": "leaving" if leaving else "serving",
    }
