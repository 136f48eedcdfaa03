"""Logs, metrics and traces."""

from __future__ import annotations

from .json_logs import start_logs
from .metrics import Metrics
from .tracing import start_tracing

__all__ = ["Metrics", "start_logs", "start_tracing"]
