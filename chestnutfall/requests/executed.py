"""Whether a request ran, as far as is known."""

from __future__ import annotations

from enum import Enum

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""HTTP statuses that tell a caller that its request did not run."""


class Executed(Enum):
    """Whether a request ran; `NO` only when it is proven that no upstream ran it."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"
