"""What is known of whether a request ran."""

from __future__ import annotations

from enum import Enum


class Executed(Enum):
    """`NO` is said only when it is proven that nothing ran."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"
