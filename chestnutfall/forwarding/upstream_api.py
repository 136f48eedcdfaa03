"""Port to the upstreams for requests."""

from __future__ import annotations

from abc import ABC, abstractmethod
from contextlib import AbstractAsyncContextManager

from .forwarded_call import ForwardedCall
from .upstream_answer import UpstreamAnswer

SILENT = "silent"
"""Code of an answer that was not waited for any longer."""


class NotSent(ConnectionError):
    """No connection could be opened; nothing ran."""


class AnswerLost(ConnectionError):
    """The request was sent and its answer is missing, cut off or another's; it may have run."""


class UpstreamApi(ABC):
    """Sends a call; leaving the context early cancels it at the upstream."""

    @abstractmethod
    def send(self, forwarded: ForwardedCall) -> AbstractAsyncContextManager[UpstreamAnswer]:
        """Send and wait for the beginning of the answer.

        Raises
        ------
        NotSent, AnswerLost
        """
