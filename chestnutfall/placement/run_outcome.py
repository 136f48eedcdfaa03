"""How a placed request ended, as far as it concerns the engine."""

from __future__ import annotations

from enum import Enum


class RunOutcome(Enum):
    """How a placed request ended, as the gateway that sent it reports to the leader."""

    DONE = "done"
    """Answered."""
    LEFT = "left"
    """The caller left, or its time was over, before the outcome at the engine was known."""
    FULL = "full"
    """The engine refused it: no room."""
    TURNED_AWAY = "turned_away"
    """The engine refused it, and asked the gateway to back off."""
    ABSENT = "absent"
    """The engine refused it: it does not hold the adapter, or not that version."""
    REPLACED = "replaced"
    """Another incarnation answers at the engine's address."""
    UNREACHABLE = "unreachable"
    """No connection could be opened, and the engine is down as far as gateways can tell."""
    NO_PATH = "no_path"
    """This gateway could open no connection, and no other one confirms that the engine is down."""
    BROKEN = "broken"
    """The answer failed, broke off or never came."""
    WITHDRAWN = "withdrawn"
    """The gateway never used the place."""
