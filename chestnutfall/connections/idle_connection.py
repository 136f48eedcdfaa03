"""A kept connection that no request uses."""

from __future__ import annotations

from dataclasses import dataclass

from .kept_connection import KeptConnection

MAX_REQUEST_IDS = 8
"""Requests of a connection that are remembered. An extra answer arrives before the next one or
soon after it."""


@dataclass(frozen=True, slots=True)
class IdleConnection:
    """One idle connection.

    Attributes
    ----------
    conn : KeptConnection
        The connection itself.
    since_ms : int
        Clock time at which its last answer ended.
    request_ids : tuple of str
        Its last requests, the newest last; `MAX_REQUEST_IDS` at most.
    """

    conn: KeptConnection
    since_ms: int
    request_ids: tuple[str, ...]
