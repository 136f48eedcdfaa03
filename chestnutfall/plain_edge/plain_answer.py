"""Answer of an upstream of a plain service."""

from __future__ import annotations

from dataclasses import dataclass

from aiohttp import web

from ..signals import AskedBackoff, UpstreamSignals

EXECUTED_HEADER = "X-Executed"
EXECUTED_NO = "no"
"""Value of `X-Executed` by which an upstream states that it did not run a call it turned away."""


@dataclass(frozen=True, slots=True)
class PlainAnswer:
    """A complete answer, and the signals of its upstream.

    Attributes
    ----------
    response : web.Response
        The answer as the caller gets it.
    signals : UpstreamSignals
        Load, limit, backoff and leaving signals from its headers.
    """

    response: web.Response
    signals: UpstreamSignals

    @property
    def turned_away(self) -> bool:
        """Whether the upstream refused the call and asked for a backoff."""
        return isinstance(self.signals.backoff, AskedBackoff)

    @property
    def not_run(self) -> bool:
        """Whether the upstream turned the call away and stated that it did not run."""
        return self.turned_away and self.response.headers.get(EXECUTED_HEADER) == EXECUTED_NO
