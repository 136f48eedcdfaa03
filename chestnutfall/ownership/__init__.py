"""What the owning gateway of an engine decides: tickets, pins, loads and evictions."""

from __future__ import annotations

from .engine_owner import EngineOwner
from .messages import (
    TICKET_CODEC,
    EngineBackoff,
    EngineLimit,
    EngineView,
    Hello,
    OwnerNote,
    ResumeSent,
    TicketEnd,
    TicketGrant,
    TicketRefusal,
    TicketRequest,
)
from .owner_desk import OwnerDesk

__all__ = [
    "TICKET_CODEC",
    "EngineBackoff",
    "EngineLimit",
    "EngineOwner",
    "EngineView",
    "Hello",
    "OwnerDesk",
    "OwnerNote",
    "ResumeSent",
    "TicketEnd",
    "TicketGrant",
    "TicketRefusal",
    "TicketRequest",
]
