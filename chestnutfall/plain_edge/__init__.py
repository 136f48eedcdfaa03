"""Proxy for plain HTTP services, which are not engines."""

from __future__ import annotations

from .plain_proxy import PlainProxy

__all__ = ["PlainProxy"]
