"""Dispatch of checked requests to engines: engine choice, tickets, retries and claims."""

from __future__ import annotations

from .claim_client import ClaimClient
from .claim_request import ClaimRequest
from .dispatcher import Dispatcher
from .engine_choice import engine_candidates
from .retry_budget import RetryBudget

__all__ = [
    "ClaimClient",
    "Dispatcher",
    "RetryBudget",
    "ClaimRequest",
    "engine_candidates",
]
