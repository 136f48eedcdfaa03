"""A gateway's part in the quarantine of requests that end the upstreams that run them.

`report_sender` is not imported here: it brings the messages of the control plane with it, which a
program that reports over another connection does not need.
"""

from __future__ import annotations

from .port_check import refuses_connections
from .request_quarantine import RequestQuarantine

__all__ = ["RequestQuarantine", "refuses_connections"]
