"""Which upstreams there are, and what the controllers say is in force."""

from __future__ import annotations

from .announcement import Announcement
from .site_agent import SiteAgent
from .upstream import Upstream
from .upstream_registry import UpstreamRegistry

__all__ = ["Announcement", "SiteAgent", "Upstream", "UpstreamRegistry"]
