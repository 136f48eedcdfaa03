"""One send over the pool of connections."""

from __future__ import annotations

from contextvars import ContextVar
from dataclasses import dataclass

from ..connections import ConnectionNeed


@dataclass(slots=True)
class UpstreamSend:
    """What one send needs of its connection, and what it got.

    Attributes
    ----------
    need : ConnectionNeed
        The send as the pool sees it.
    target : str
        Path and query as the client named them.
    may_keep : bool
        Whether the connection may serve another request afterwards.
    sent_ms : int
        Clock time at which the connection was taken or opened.
    reused : bool
        Whether the connection had served another request before.
    extra_answers : int
        Answers to former requests of the connection that came before the own one.
    is_answered : bool
        Whether an answer has begun.
    """

    need: ConnectionNeed
    target: str
    may_keep: bool
    sent_ms: int = 0
    reused: bool = False
    extra_answers: int = 0
    is_answered: bool = False


CURRENT_SEND: ContextVar[UpstreamSend] = ContextVar("current_send")
"""The send of the running task. aiohttp passes no data of a request on to its connector; the
context of the task is the one thing that both share."""
