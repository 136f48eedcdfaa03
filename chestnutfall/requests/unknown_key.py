"""Refusal of requests whose key belongs to no caller."""

from __future__ import annotations

from .executed import Executed
from .refusal import Refusal


def unknown_key() -> Refusal:
    """Return the refusal of a request without the key of a caller in the configuration."""
    return Refusal(401, "invalid_key", "a known bearer key is needed", Executed.NO)
