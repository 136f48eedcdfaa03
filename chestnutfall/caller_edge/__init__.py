"""What callers see: the OpenAI-compatible API, plain services, health."""

from __future__ import annotations

from .caller_app import CallerApp
from .caller_limits import CallerLimits

__all__ = ["CallerApp", "CallerLimits"]
