"""What may be repeated of a route's requests, and how they are answered."""

from __future__ import annotations

from enum import Enum


class RouteKind(Enum):
    """The closed set of kinds."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"
    RESUMABLE_STREAM = "resumable_stream"

    @property
    def idempotent(self) -> bool:
        """Whether a second run of the same request does no harm."""
        return self in (RouteKind.IDEMPOTENT, RouteKind.RESUMABLE_STREAM)

    @property
    def streamed(self) -> bool:
        """Whether the answer is a series of numbered server-sent events."""
        return self in (RouteKind.STREAM, RouteKind.RESUMABLE_STREAM)
