"""Keepalive pings on the connections between the system's own processes."""

from __future__ import annotations

PING_AFTER_MS = 2_000
"""Time without data after which a peer is pinged."""
MAX_SILENCE_MS = 1_000
"""How long a peer may leave a ping without an answer; several times a round trip to any region."""


def keepalive_options(max_silence_ms: int) -> tuple[tuple[str, int], ...]:
    """Return the options of a connection that ends after a peer's silence of `max_silence_ms`."""
    return (
        ("grpc.keepalive_time_ms", PING_AFTER_MS),
        ("grpc.keepalive_timeout_ms", max_silence_ms),
        # A keepalive ping ends a connection only after this, which is a minute by default.
        ("grpc.http2.ping_timeout_ms", max_silence_ms),
    )
