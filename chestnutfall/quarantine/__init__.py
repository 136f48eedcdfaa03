"""What a gateway does about requests that end the upstreams that run them."""

from __future__ import annotations

from .port_check import refuses_connections
from .report_line import ReportLine
from .request_quarantine import RequestQuarantine

__all__ = ["ReportLine", "RequestQuarantine", "refuses_connections"]
