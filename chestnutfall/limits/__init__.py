"""How many requests upstreams take that name a limit."""

from __future__ import annotations

from .limit_word import LIMIT_HEADER, LimitWord, Named, Unnamed, Unreadable, read_limit

__all__ = ["LIMIT_HEADER", "LimitWord", "Named", "Unnamed", "Unreadable", "read_limit"]
