"""HTTP interface for callers: the OpenAI-compatible API, plain services and health checks."""

from __future__ import annotations

from .caller_app import CallerApp
from .caller_limits import CallerLimits
from .control_quota_client import ControlQuotaClient

__all__ = ["CallerApp", "CallerLimits", "ControlQuotaClient"]
