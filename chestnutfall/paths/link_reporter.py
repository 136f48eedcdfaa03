"""Reports of a gateway about its links to upstreams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from ..clock import Clock
from .leader_messages import LinkReport

REPORT_MS = 50
"""Links that fail within this time are reported together; most of a cut fail at the same moment."""


class LinkReporter:
    """Tells the leader which links failed or are back; nothing is sent while none changes.

    Parameters
    ----------
    send : callable
        Sends a message to the leader; it is dropped while there is none.
    """

    def __init__(self, send: Callable[[LinkReport], None], clock: Clock) -> None:
        self._send = send
        self._clock = clock
        self._changed: dict[str, bool] = {}
        self._flushing: asyncio.Task[None] | None = None

    def note(self, instance: str, is_cut: bool) -> None:
        """Report that a link failed, or is back, with others that change at the same time."""
        self._changed[instance] = is_cut
        if self._flushing is None:
            self._flushing = asyncio.ensure_future(self._flush_soon())

    async def _flush_soon(self) -> None:
        await self._clock.sleep_ms(REPORT_MS)
        changed, self._changed, self._flushing = self._changed, {}, None
        cut = tuple(one for one, is_cut in changed.items() if is_cut)
        restored = tuple(one for one, is_cut in changed.items() if not is_cut)
        self._send(LinkReport(cut, restored))


def report_for_new_leader(cut: Iterable[str]) -> tuple[LinkReport, ...]:
    """Return what a leader that knows nothing has to be sent; nothing while all links hold."""
    instances = tuple(cut)
    return (LinkReport(instances),) if instances else ()
