"""Limits on callers' requests and connections."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DocumentLimits:
    """Limits on each request of a caller and its connection.

    The defaults, those of common HTTP servers, hold until the first document is in force.

    Attributes
    ----------
    max_header_bytes, max_body_bytes : int
        Largest header section and largest body of a request.
    header_timeout_ms : int
        Time to receive the header section.
    idle_timeout_ms : int
        Time that a connection may be without a request.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: int = 10_000
    idle_timeout_ms: int = 60_000
