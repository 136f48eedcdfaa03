"""A caller's request on its way, and how it may fail."""

from __future__ import annotations

from .caller_request import CallerRequest
from .executed import Executed
from .refusal import Refusal

__all__ = ["CallerRequest", "Executed", "Refusal"]
