"""The replicated state of an office and the service that controllers offer."""

from __future__ import annotations

from .claim import Claim, ClaimStatus
from .control_state import ControlState

__all__ = ["Claim", "ClaimStatus", "ControlState"]
