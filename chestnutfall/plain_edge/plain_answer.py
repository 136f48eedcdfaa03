"""What an upstream of a plain service answered."""

from __future__ import annotations

from dataclasses import dataclass

from aiohttp import web

from ..signals import AskedBackoff, UpstreamSignals

EXECUTED_HEADER = "X-Executed"
NOT_RUN = "no"
"""With it an upstream proves that it did not run a call which it turns away."""


@dataclass(frozen=True, slots=True)
class PlainAnswer:
    """A whole answer, and what it says of its upstream."""

    response: web.Response
    signals: UpstreamSignals

    @property
    def turned_away(self) -> bool:
        """Whether the upstream wants nothing from this gateway for some time."""
        return isinstance(self.signals.backoff, AskedBackoff)

    @property
    def not_run(self) -> bool:
        """Whether the call provably did not run."""
        return self.turned_away and self.response.headers.get(EXECUTED_HEADER) == NOT_RUN
