"""Units of a quota."""

from __future__ import annotations

from enum import Enum


class QuotaUnit(Enum):
    """What a quota counts: requests, or their tokens."""

    REQUESTS = "requests"
    TOKENS = "tokens"
