"""The helper's side: sends calls of gateways that are cut off."""

from __future__ import annotations

import logging
import random
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Sequence
from contextlib import AsyncExitStack
from dataclasses import replace
from typing import Any

from ..accounts import AccountFull, MemoryAccount
from ..clock import Clock
from ..control.upstream_record import UpstreamRecord
from ..forwarding.forwarded_call import ForwardedCall
from ..forwarding.upstream_answer import NotRun, UpstreamAnswer
from ..forwarding.upstream_api import AnswerLost, NotSent
from ..signals.known_signals import KnownSignals
from ..wire.incoming_body import IncomingBody
from ..wire.request_cost import CALL_BYTES, SEND_BYTES
from .helped_upstream_api import HelpedUpstreamApi
from .messages import (
    LEAVING,
    UNKNOWN_KEY,
    UNREACHABLE,
    AnswerBegins,
    AnswerBroken,
    AnswerEnds,
    AnswerPart,
    BodyPart,
    BodyWanted,
    CheckPort,
    NotSentByHelper,
    PortChecked,
    SendCall,
    SendLongCall,
)

log = logging.getLogger(__name__)
MAX_HELPED = 256
"""Calls of other gateways in progress at a time. Beyond it the helper refuses, so that its own
callers keep their share of its processor, memory and connections."""
BODY_COPIES = 3
"""A body is there as it came, as a part of its message, and decoded."""
FULL = "helper_full"
"""Reason of a helper that has no room for one more call."""
NO_BODY = "no_body"
"""Reason of a helper that didn't get the body of a call in time."""
SAME_MOMENT_MS = 50
"""An upstream reached so shortly before counts as reached now."""
MAX_OTHERS_TRIED = 2
"""Other upstreams that a helper tries to reach before it says that one is down."""


class HelperService:
    """Sends calls for other gateways over this gateway's own links, never through a helper.

    Places, repeats, quotas and deadlines were decided by the gateway that took the call. What only
    the sender can know is checked here: whether the upstream accepts work from this gateway.

    Parameters
    ----------
    accepts : callable
        Whether a gateway with these keys belongs to the fleet.
    upstream : callable
        Returns the record of an instance; None if it does not accept work.
    upstreams : callable
        Returns the records of all upstreams.
    opens, refuses : callable
        Whether a connection to an address opens, or is refused.

    Attributes
    ----------
    in_progress, sent : int
        Calls of other gateways that are in progress, and that were sent since the start.
    """

    def __init__(
        self,
        api: HelpedUpstreamApi,
        accepts: Callable[[Sequence[str]], bool],
        signals: KnownSignals,
        upstream: Callable[[str], UpstreamRecord | None],
        upstreams: Callable[[], Iterable[UpstreamRecord]],
        opens: Callable[[str], Awaitable[bool]],
        refuses: Callable[[str], Awaitable[bool]],
        clock: Clock,
        rng: random.Random,
        memory: MemoryAccount,
    ) -> None:
        self._api = api
        self._accepts = accepts
        self._signals = signals
        self._upstream = upstream
        self._upstreams = upstreams
        self._opens = opens
        self._refuses = refuses
        self._clock = clock
        self._rng = rng
        self._memory = memory
        self._refusing = False
        self._opened_ms = -SAME_MOMENT_MS - 1
        self.in_progress = 0
        self.sent = 0

    def refuse_new(self) -> None:
        """Send no further calls; called when this gateway is about to end."""
        self._refusing = True

    async def serve(self, messages: AsyncIterator[Any], context: Any) -> AsyncIterator[Any]:
        """Serve one call of another gateway; the end of the stream cancels it."""
        asked = await anext(messages, None)
        if not isinstance(asked, SendCall | SendLongCall):
            return
        refused = self._reason_to_refuse(asked)
        if refused:
            yield NotSentByHelper(refused)
            return
        self.in_progress += 1
        try:
            with self._memory.holder() as held:
                held.resize(CALL_BYTES + SEND_BYTES + BODY_COPIES * _body_bytes(asked))
                forwarded: ForwardedCall | None = asked.forwarded
                if isinstance(asked, SendLongCall):
                    yield BodyWanted()
                    forwarded = await self._with_body(asked, messages)
                if forwarded is None:
                    yield NotSentByHelper(NO_BODY)
                    return
                async for msg in self._send(forwarded):
                    yield msg
        except AccountFull as exc:
            log.warning("help: refused, %s", exc)
            yield NotSentByHelper(FULL)
        finally:
            self.in_progress -= 1

    async def _with_body(
        self, asked: SendLongCall, messages: AsyncIterator[Any]
    ) -> ForwardedCall | None:
        """Return a call with the body that follows; None if it doesn't come whole in time."""
        began_ms = self._clock.now_ms()
        forwarded = asked.forwarded
        try:
            reading = _read_body(messages, asked.body_bytes)
            body = await self._clock.within_ms(forwarded.left_ms, reading)
        except TimeoutError:
            return None
        if len(body) != asked.body_bytes:
            return None
        left_ms = max(forwarded.left_ms - (self._clock.now_ms() - began_ms), 1)
        return replace(forwarded, call=replace(forwarded.call, body=body), left_ms=left_ms)

    def _reason_to_refuse(self, asked: SendCall | SendLongCall) -> str:
        """Return why nothing is sent; empty if the call may be sent."""
        instance = asked.forwarded.upstream.instance
        known = self._upstream(instance)
        if not self._accepts(asked.keys):
            log.warning("help: refused, the key is not one of this fleet")
            return UNKNOWN_KEY
        if self._refusing:
            return LEAVING
        if self.in_progress >= MAX_HELPED:
            return FULL
        wanted = asked.forwarded.upstream
        if known is None or (known.address, known.build) != (wanted.address, wanted.build):
            return "unknown_upstream"
        if not self._signals.may_send(instance):
            return "held_back"
        return ""

    async def _send(self, forwarded: ForwardedCall) -> AsyncIterator[Any]:
        sent_ms = self._clock.now_ms()
        async with AsyncExitStack() as stack:
            try:
                answer = await self._api.send_directly(stack, forwarded)
            except NotSent:
                is_witness = await self._reaches_others(forwarded.upstream)
                if is_witness:
                    self._api.note_down(forwarded.upstream.instance)
                yield NotSentByHelper(UNREACHABLE, is_witness)
                return
            except AnswerLost as exc:
                yield AnswerBroken(str(exc))
                return
            self.sent += 1
            self._note_signals(forwarded.upstream, answer, sent_ms)
            # aiohttp's names of headers are a subclass of str, which the codec doesn't encode.
            headers = tuple((str(name), value) for name, value in answer.headers)
            yield AnswerBegins(answer.status, headers)
            async for msg in _body_messages(answer):
                yield msg

    def _note_signals(self, upstream: UpstreamRecord, answer: UpstreamAnswer, sent_ms: int) -> None:
        if answer.not_run is not NotRun.REPLACED:
            rejected = answer.not_run is NotRun.FULL
            self._signals.observe(upstream.instance, answer.signals, sent_ms, answer.ok, rejected)

    async def check_port(self, asked: CheckPort, context: Any) -> PortChecked:
        """Check a port for another gateway."""
        if not self._accepts(asked.keys):
            return PortChecked(None)
        if await self._refuses(asked.address):
            others = [one for one in self._upstreams() if one.address != asked.address]
            return PortChecked(True if await self._opens_any(others) else None)
        return PortChecked(False if await self._opens(asked.address) else None)

    async def _reaches_others(self, upstream: UpstreamRecord) -> bool:
        return await self._opens_any(
            [one for one in self._upstreams() if one.address != upstream.address]
        )

    async def _opens_any(self, upstreams: list[UpstreamRecord]) -> bool:
        """Whether some other upstream is reached now; calls that end together share the check."""
        if self._clock.now_ms() - self._opened_ms <= SAME_MOMENT_MS:
            return True
        drawn = self._rng.sample(upstreams, min(len(upstreams), MAX_OTHERS_TRIED))
        for one in drawn:
            if await self._opens(one.address):
                self._opened_ms = self._clock.now_ms()
                return True
        return False


def _body_bytes(asked: SendCall | SendLongCall) -> int:
    if isinstance(asked, SendLongCall):
        return asked.body_bytes
    return len(asked.forwarded.call.body)


async def _read_body(messages: AsyncIterator[Any], size: int) -> bytes:
    """Return the body that comes in parts; of one that is longer than `size`, not much more."""
    parts = IncomingBody()
    async for msg in messages:
        if isinstance(msg, BodyPart):
            parts.append(msg.data)
        if len(parts) > size:
            break
    return parts.whole()


async def _body_messages(answer: UpstreamAnswer) -> AsyncIterator[Any]:
    try:
        async for data in answer.body:
            yield AnswerPart(data)
    except AnswerLost as exc:
        yield AnswerBroken(str(exc))
        return
    yield AnswerEnds()


def as_sent(forwarded: ForwardedCall) -> ForwardedCall:
    """Return a call as it goes to a helper; the digest of its key stays on the gateway."""
    return replace(forwarded, call=replace(forwarded.call, key_digest=None))
