"""Interface for asking another gateway for help."""

from __future__ import annotations

from abc import ABC, abstractmethod
from contextlib import AbstractAsyncContextManager

from ..forwarding.forwarded_call import ForwardedCall
from ..forwarding.upstream_answer import UpstreamAnswer
from ..forwarding.upstream_api import NotSent
from .messages import LEAVING, UNKNOWN_KEY, UNREACHABLE, NotSentByHelper

HELPER_SILENCE_MS = 2_000
"""How long a gateway and its helper may leave a keepalive ping without an answer. A sound link may
be silent for a second or so, and its end takes the answers of all calls on it."""


class HelperUnusable(NotSent):
    """A helper can't be reached, or sends nothing for this gateway whatever the upstream."""


class UpstreamNotReached(NotSent):
    """A helper does not reach the upstream."""


def not_sent(msg: NotSentByHelper) -> NotSent:
    """Return the error for a helper's statement that it sent nothing."""
    if msg.reason in (UNKNOWN_KEY, LEAVING):
        return HelperUnusable(msg.reason)
    if msg.reason == UNREACHABLE:
        return UpstreamNotReached(msg.reason, is_confirmed=msg.is_witness)
    return NotSent(msg.reason)


class HelperApi(ABC):
    """Sends calls through helpers, and has them check ports."""

    @abstractmethod
    def send(
        self, address: str, keys: tuple[str, ...], forwarded: ForwardedCall
    ) -> AbstractAsyncContextManager[UpstreamAnswer]:
        """Let the helper at `address` send a call once.

        Raises
        ------
        NotSent
            When it is proven that nothing was sent; its `is_confirmed` says whether the helper
            could not reach the upstream while it reached another one.
        UpstreamNotReached
            The same, if another helper should be asked first for this upstream.
        HelperUnusable
            The same, if another helper should be asked first for each upstream.
        AnswerLost
            When the call may have run.
        """

    @abstractmethod
    async def refuses(self, address: str, keys: tuple[str, ...], port_address: str) -> bool | None:
        """Return whether a port refuses the helper's connections; None if that is not known."""
