"""Decisions of the gateway that owns an engine: tickets, pins, loads and evictions."""

from __future__ import annotations

from .engine_owner import EngineOwner
from .engine_owners import EngineOwners
from .messages import (
    TICKET_CODEC,
    EngineBackoff,
    EngineLimit,
    EngineView,
    Hello,
    OwnerNotification,
    ResumeSent,
    TicketEnd,
    TicketGrant,
    TicketRefusal,
    TicketRequest,
)

__all__ = [
    "TICKET_CODEC",
    "EngineBackoff",
    "EngineLimit",
    "EngineOwner",
    "EngineView",
    "Hello",
    "EngineOwners",
    "OwnerNotification",
    "ResumeSent",
    "TicketEnd",
    "TicketGrant",
    "TicketRefusal",
    "TicketRequest",
]
