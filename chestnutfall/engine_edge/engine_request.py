"""A request as an engine gets it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..limits import LimitWord

OnLimit = Callable[[LimitWord, bool], None]
"""Told what an answer says of its engine's limit, and whether the answer is a success."""


def _ignore(word: LimitWord, succeeded: bool) -> None:
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
    on_limit : callable
        Told what each answer to it says of its engine's limit.
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
    on_limit: OnLimit = _ignore
