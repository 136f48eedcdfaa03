"""One attempt to run a request on an engine."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..signals import UpstreamSignals

OnSignals = Callable[[UpstreamSignals, bool, bool], None]
"""Receives the signals in an answer's headers, whether the status is a success, and whether the
engine rejects the request for want of room."""


def _ignore_signals(signals: UpstreamSignals, succeeded: bool, rejected: bool) -> None:
    """Ignore the signals; the default of `EngineRequest.on_signals`."""


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """One attempt to run a request on one engine.

    Attributes
    ----------
    attempt_id : str
        Unique for each attempt; the engine's answer carries it as its id.
    path : str
        API path, like `/v1/chat/completions`.
    model : str
        The adapter's name on engines, with version and content digest.
    body : bytes
        JSON body.
    stream : bool
        Whether the answer is a stream of server-sent events.
    priority : int
        Rank of the priority class; 0 goes first.
    fresh_connection : bool
        Whether the request must have a new connection instead of a pooled one.
    silent_ms : int
        Longest time without data in a stream that has begun; its connection then counts as dead.
    begin_ms : int
        Longest time without data before the answer begins.
    trace : dict
        W3C trace context headers.
    on_signals : callable
        Called once for each HTTP answer to this attempt, a resumed one included.
    """

    attempt_id: str
    path: str
    model: str
    body: bytes
    stream: bool
    priority: int
    fresh_connection: bool
    silent_ms: int
    begin_ms: int
    trace: dict[str, str]
    on_signals: OnSignals = _ignore_signals
