"""From a checked request to an answer: engine, ticket, dispatch, retry, claim."""

from __future__ import annotations

from .claim_desk import ClaimDesk
from .dispatcher import Dispatcher
from .engine_choice import engine_candidates
from .retry_budget import RetryBudget
from .wanted_claim import WantedClaim

__all__ = [
    "ClaimDesk",
    "Dispatcher",
    "RetryBudget",
    "WantedClaim",
    "engine_candidates",
]
