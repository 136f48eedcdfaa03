"""Kinds of routes: whether requests may be repeated, and whether answers are streams."""

from __future__ import annotations

from enum import Enum


class RouteKind(Enum):
    """The closed set of kinds; only idempotent ones may run a request twice."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"
    RESUMABLE_STREAM = "resumable_stream"

    @property
    def idempotent(self) -> bool:
        """Whether the same request may run twice without harm."""
        return self in (RouteKind.IDEMPOTENT, RouteKind.RESUMABLE_STREAM)

    @property
    def streamed(self) -> bool:
        """Whether the answer is a stream of numbered server-sent events."""
        return self in (RouteKind.STREAM, RouteKind.RESUMABLE_STREAM)
