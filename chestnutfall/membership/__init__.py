"""Upstreams announced to a gateway, and the gateway's session with the controllers."""

from __future__ import annotations

from .announcement import Announcement
from .gateway_agent import GatewayAgent
from .upstream import Upstream
from .upstream_registry import UpstreamRegistry

__all__ = ["Announcement", "GatewayAgent", "Upstream", "UpstreamRegistry"]
