"""A request as an engine gets it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..signals import UpstreamSignals

OnSignals = Callable[[UpstreamSignals, bool], None]
"""Told what an answer says of its engine, and whether the answer is a success."""


def _ignore(signals: UpstreamSignals, succeeded: bool) -> None:
    """Take no notice."""


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
    on_signals : callable
        Told what each answer to it says of its engine.
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
    on_signals: OnSignals = _ignore
