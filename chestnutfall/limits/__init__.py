"""How many requests upstreams take that name a limit."""

from __future__ import annotations

from .limit_word import LimitWord, Named, Unnamed, Unreadable, read_limit

__all__ = ["LimitWord", "Named", "Unnamed", "Unreadable", "read_limit"]
