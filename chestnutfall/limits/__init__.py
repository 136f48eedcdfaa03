"""Limits on the requests per second that upstreams accept, as declared in their answers."""

from __future__ import annotations

from .limit_signal import DeclaredLimit, LimitSignal, UndeclaredLimit, UnreadableLimit, read_limit

__all__ = ["DeclaredLimit", "LimitSignal", "UndeclaredLimit", "UnreadableLimit", "read_limit"]
