"""What is known of whether a request ran."""

from __future__ import annotations

from enum import Enum

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""By each of these a caller is told that its request did not run."""


class Executed(Enum):
    """`NO` is said only when it is proven that nothing ran."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"
