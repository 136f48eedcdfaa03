"""A request as an engine gets it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """One attempt at one engine.

    Attributes
    ----------
    attempt_id : str
        Unique for each attempt; the engine answers under it.
    path : str
        API path, like `/v1/chat/completions`.
    model : str
        The adapter's name on engines, with version and content digest.
    body : bytes
        JSON body.
    fresh_connection : bool
        Whether a pooled connection must not be used.
    silent_ms : int
        How long the engine may be silent.
    trace : dict
        W3C trace context headers.
    """

    attempt_id: str
    path: str
    model: str
    body: bytes
    stream: bool
    priority: int
    fresh_connection: bool
    silent_ms: int
    trace: dict[str, str]
