"""What connects a gateway's knowledge of suspect prompt parts with the leader and its sends."""

from __future__ import annotations

from ..control.crash_messages import SuspectRequests
from ..quarantine import RequestQuarantine
from .engine_upstream_selector import EngineUpstreamSelector
from .fleet_client import FleetClient


def link_suspect_parts(
    fleet: FleetClient, selector: EngineUpstreamSelector, quarantine: RequestQuarantine
) -> None:
    """Let a gateway hear what is suspect, tell the next leader, and send none of it without one."""
    unsettled = quarantine.unsettled
    fleet.on(SuspectRequests, quarantine.update)
    fleet.suspect_parts = unsettled.to_tell
    selector.is_unsettled = unsettled.includes_any
    selector.on_answered = unsettled.note_answer_times
