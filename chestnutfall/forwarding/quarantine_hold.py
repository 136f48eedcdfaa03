"""Whether a call is quarantined, for itself or for parts of its prompt."""

from __future__ import annotations

from ..placement.suspect_parts import PART_ENDS_UPSTREAMS
from ..quarantine import RequestQuarantine
from ..quarantine.request_quarantine import REASON as QUARANTINED
from .progress import Progress


def quarantine_hold(quarantine: RequestQuarantine, progress: Progress) -> tuple[int, str] | None:
    """Return the retry time of a quarantined call, in ms, and why; None if it may be sent."""
    retry_ms, reason = quarantine.retry_ms(progress.fingerprint), QUARANTINED
    if retry_ms is None and quarantine.holds_parts:
        retry_ms = quarantine.parts_retry_ms(progress.part_keys)
        reason = PART_ENDS_UPSTREAMS
    if retry_ms is None:
        return None
    return retry_ms, reason
