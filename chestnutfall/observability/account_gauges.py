"""Gauges of what a process holds for its peers."""

from __future__ import annotations

from ..accounts import ProcessAccount
from .prometheus_metrics import PrometheusMetrics


def note_account(metrics: PrometheusMetrics, account: ProcessAccount) -> None:
    """Set the gauges of an account."""
    memory, descriptors = account.memory, account.descriptors
    metrics.gauge("memory_capacity_bytes", memory.capacity_bytes)
    metrics.gauge("memory_held_bytes", memory.held_bytes)
    metrics.gauge("memory_kept_bytes", memory.kept_bytes)
    metrics.gauge("client_connections", descriptors.clients)
    metrics.gauge("calls_with_connection", descriptors.calls)
    metrics.gauge("long_requests_waiting", len(account.turns))
