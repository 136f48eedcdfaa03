"""Kept connections to upstreams: which call may use one, and which are closed."""

from __future__ import annotations

from .connection_need import ConnectionNeed
from .connection_pool import ConnectionPool
from .kept_connection import KeptConnection

__all__ = ["ConnectionNeed", "ConnectionPool", "KeptConnection"]
