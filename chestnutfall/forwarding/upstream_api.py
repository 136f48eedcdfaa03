"""Interface for sending calls to upstreams."""

from __future__ import annotations

from abc import ABC, abstractmethod
from contextlib import AbstractAsyncContextManager

from .answer_head import AnswerHead
from .call import Headers
from .forwarded_call import ForwardedCall
from .upstream_answer import UpstreamAnswer

SILENT = "silent"
"""Code of an answer lost because the upstream was silent for too long."""


class NotSent(ConnectionError):
    """No connection could be opened; nothing ran.

    Attributes
    ----------
    is_confirmed : bool
        Whether the upstream is down, as far as gateways can tell. Otherwise the link to it may be
        at fault, and others may reach it.
    """

    def __init__(self, reason: str, is_confirmed: bool = False) -> None:
        super().__init__(reason)
        self.is_confirmed = is_confirmed


class AnswerLost(ConnectionError):
    """The request may have run; its answer is missing, cut off or belongs to another request."""


class UpstreamApi(ABC):
    """Sends calls to upstreams."""

    def has_open_connection(self, instance: str) -> bool:
        """Return whether a call to an upstream would find an open connection.

        Where upstreams are equal otherwise, the open one costs no handshake.
        """
        return False

    def interpret(self, status: int, headers: Headers, forwarded: ForwardedCall) -> AnswerHead:
        """Return what status and headers of an answer to a call say."""
        raise NotImplementedError

    @abstractmethod
    def send(self, forwarded: ForwardedCall) -> AbstractAsyncContextManager[UpstreamAnswer]:
        """Send a call and wait for the beginning of the answer.

        Leaving the context before the body has ended cancels the call at the upstream.

        Raises
        ------
        NotSent
            When no connection could be opened.
        AnswerLost
            When the answer is missing, cut off or belongs to another request.
        """
