"""What a client may send, and how long it may take."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DocumentLimits:
    """Bounds on a request and its connection.

    The defaults hold until the first document is in force, and are those of common HTTP servers.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: int = 10_000
    idle_timeout_ms: int = 60_000
