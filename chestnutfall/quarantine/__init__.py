"""A gateway's part in the quarantine of requests that end the upstreams that run them."""

from __future__ import annotations

from .port_check import refuses_connections
from .report_sender import ReportSender
from .request_quarantine import RequestQuarantine

__all__ = ["ReportSender", "RequestQuarantine", "refuses_connections"]
