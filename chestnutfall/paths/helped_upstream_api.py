"""Sends to upstreams over this gateway's own links, and through helpers where these fail."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace

from ..accounts import ByteTurns, MemoryAccount
from ..clock import Clock
from ..control.upstream_record import UpstreamRecord
from ..forwarding.forwarded_call import ForwardedCall
from ..forwarding.upstream_answer import UpstreamAnswer
from ..forwarding.upstream_api import NotSent, UpstreamApi
from .helper_api import HelperApi, HelperUnusable, UpstreamNotReached
from .known_helpers import KnownHelpers
from .path_table import PathTable

log = logging.getLogger(__name__)
HELPED_PART = 16
"""Part of the memory for peers that long bodies may take which go through helpers together. Each is
there several times on its way, here and at the helper."""
FREE_BYTES = 16 * 1024
"""Bodies that go through helpers at once, whatever others do."""


class HelpedUpstreamApi(UpstreamApi):
    """Sends each call itself if it can, and otherwise lets one helper send it.

    Only a send that provably did not begin is passed on, so that a call is still sent once.

    Parameters
    ----------
    opens : callable
        Whether a connection to an address opens now.
    is_alone : callable
        Whether no other gateway is known, so that nothing but the own link tells whether an
        upstream is down.
    """

    def __init__(
        self,
        direct: UpstreamApi,
        helper_api: HelperApi,
        helpers: KnownHelpers,
        paths: PathTable,
        opens: Callable[[str], Awaitable[bool]],
        is_alone: Callable[[], bool],
        clock: Clock,
        memory: MemoryAccount,
    ) -> None:
        self._direct = direct
        self._helper_api = helper_api
        self._helpers = helpers
        self._paths = paths
        self._opens = opens
        self._is_alone = is_alone
        self._clock = clock
        self._turns = ByteTurns(memory.capacity_bytes // HELPED_PART, FREE_BYTES)
        self._probes: set[asyncio.Task[None]] = set()

    def has_open_connection(self, instance: str) -> bool:
        return self._direct.has_open_connection(instance)

    def reaches_any(self, upstreams: Iterable[UpstreamRecord]) -> bool:
        """Whether a send to one of the upstreams may succeed; True if there are none.

        Without a link and without a helper, a call is refused at once instead of after it has tried
        one upstream after another.
        """
        upstreams = list(upstreams)
        if not upstreams or any(self._may_reach(one.instance) for one in upstreams):
            return True
        for one in upstreams:
            self._probe_if_due(one)
        return False

    def _may_reach(self, instance: str) -> bool:
        return not self._paths.is_cut(instance) or self._helpers.usable(instance)

    @asynccontextmanager
    async def send(self, forwarded: ForwardedCall) -> AsyncIterator[UpstreamAnswer]:
        began_ms = self._clock.now_ms()
        async with AsyncExitStack() as stack:
            try:
                answer = await self.send_directly(stack, forwarded)
            except NotSent as exc:
                left_ms = max(forwarded.left_ms - (self._clock.now_ms() - began_ms), 1)
                forwarded = replace(forwarded, left_ms=left_ms)
                answer = await self._send_through_helper(stack, forwarded, exc)
            yield answer

    async def send_directly(
        self, stack: AsyncExitStack, forwarded: ForwardedCall
    ) -> UpstreamAnswer:
        """Send a call over the own link; `stack` ends it.

        Raises
        ------
        NotSent
            When no connection could be opened, or none could be just before.
        """
        upstream = forwarded.upstream
        if self._paths.is_cut(upstream.instance):
            self._probe_if_due(upstream)
            raise NotSent(f"{upstream.address} is cut off from this gateway")
        try:
            answer = await stack.enter_async_context(self._direct.send(forwarded))
        except NotSent:
            self._paths.note_failed(upstream.instance)
            raise
        self._paths.note_reached(upstream.instance)
        return answer

    async def _send_through_helper(
        self, stack: AsyncExitStack, forwarded: ForwardedCall, failure: NotSent
    ) -> UpstreamAnswer:
        instance = forwarded.upstream.instance
        if self._paths.is_down(instance):
            raise NotSent(str(failure), is_confirmed=True) from failure
        is_confirmed = self._is_alone()
        for address in self._helpers.candidates(instance):
            try:
                answer = await stack.enter_async_context(self._send_through(address, forwarded))
            except HelperUnusable as exc:
                failure = exc
                self._helpers.note_failed(address)
            except UpstreamNotReached as exc:
                failure = exc
                is_confirmed = is_confirmed or exc.is_confirmed
                self._helpers.note_not_reached(address, instance)
            except NotSent as exc:
                failure = exc
            else:
                self._helpers.note_served(address, instance)
                return answer
        if is_confirmed:
            self._paths.note_down(instance)
        raise NotSent(str(failure), is_confirmed) from failure

    @asynccontextmanager
    async def _send_through(
        self, address: str, forwarded: ForwardedCall
    ) -> AsyncIterator[UpstreamAnswer]:
        self._helpers.began(address)
        try:
            async with (
                self._turns.turn(len(forwarded.call.body)),
                self._helper_api.send(address, self._helpers.keys, forwarded) as answer,
            ):
                yield answer
        finally:
            self._helpers.ended(address)

    def note_down(self, instance: str) -> None:
        """Record that an upstream is down; this gateway reaches others."""
        self._paths.note_down(instance)

    def _probe_if_due(self, upstream: UpstreamRecord) -> None:
        if not self._paths.take_probe(upstream.instance):
            return
        task = asyncio.ensure_future(self._probe(upstream))
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    async def _probe(self, upstream: UpstreamRecord) -> None:
        if await self._opens(upstream.address):
            self._paths.note_reached(upstream.instance)
