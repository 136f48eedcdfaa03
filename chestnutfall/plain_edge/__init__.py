"""Plain services beside the engines."""

from __future__ import annotations

from .plain_proxy import PlainProxy

__all__ = ["PlainProxy"]
