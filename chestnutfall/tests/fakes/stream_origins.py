"""Origins of streams at a gateway that has a leader and services with one build."""

from __future__ import annotations

from ...clock import Clock
from ...forwarding.fleet_client import FleetClient
from ...forwarding.fleet_knowledge import FleetKnowledge
from ...forwarding.stream_origins import StreamOrigins
from ...platform.document_json import DocumentJson


def origins_of_one_build(clock: Clock) -> StreamOrigins:
    """Return origins that let each stream go on anywhere."""
    fleet = FleetClient("g", (), FleetKnowledge(DocumentJson(), clock), clock)
    fleet.connected = True
    return StreamOrigins(fleet, clock)
