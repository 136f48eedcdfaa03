"""Interface for asking another gateway for help."""

from __future__ import annotations

from abc import ABC, abstractmethod
from contextlib import AbstractAsyncContextManager

from ..forwarding.forwarded_call import ForwardedCall
from ..forwarding.upstream_answer import UpstreamAnswer


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
        AnswerLost
            When the call may have run.
        """

    @abstractmethod
    async def refuses(self, address: str, keys: tuple[str, ...], port_address: str) -> bool | None:
        """Return whether a port refuses the helper's connections; None if that is not known."""
