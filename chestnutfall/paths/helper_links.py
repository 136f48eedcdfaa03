"""Connections to helpers, opened when they are needed."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import grpc

from ..clock import Clock
from ..forwarding.forwarded_call import ForwardedCall
from ..forwarding.upstream_answer import UpstreamAnswer
from ..forwarding.upstream_api import SILENT, AnswerLost, NotSent, UpstreamApi
from ..requests.awaited import check_awaited
from ..wire import RpcChannel, TlsFiles
from .help_stream import HelpStream
from .helper_api import HELPER_SILENCE_MS, HelperApi, HelperUnusable, not_sent
from .helper_service import as_sent
from .messages import (
    BODY_PART_BYTES,
    CHECK_METHOD,
    HELP_CODEC,
    HELP_METHOD,
    MAX_INLINE_BYTES,
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
CONNECT_MS = 150
"""Opening a connection takes a few ms; a host that is down never answers."""
CHECK_MS = 600
"""Longest wait for a port check: the helper tries the port and up to two others, 150 ms each."""
HELPER_DELAY_MS = 250
"""How much later than over an own link an answer may come: the helper's own try to connect, and two
more hops."""
CLOSE_GRACE_S = 10.0
"""Longest time for which sends may go on as this gateway ends."""
IDLE_MS = 10_000
"""A connection without a send for so long is closed."""

_STREAM_ERRORS = (grpc.aio.AioRpcError, asyncio.InvalidStateError)


class _ConnectionLost(AnswerLost):
    """The connection to a helper has ended, with all calls on it."""


class _BodyNotSent(HelperUnusable):
    """The connection to a helper has ended before it had the body of the call."""


class HelperLinks(HelperApi):
    """Sends calls and port checks to helpers over gRPC.

    Parameters
    ----------
    interpret : UpstreamApi
        Reads the status and headers of upstreams' answers.
    tls : TlsFiles or None
        Certificates of this gateway, where gateways authenticate themselves.
    """

    def __init__(self, interpret: UpstreamApi, clock: Clock, tls: TlsFiles | None = None) -> None:
        self._interpret = interpret
        self._clock = clock
        self._tls = tls
        self._channels: dict[str, RpcChannel] = {}
        self._used_ms: dict[str, int] = {}
        self._busy: Counter[str] = Counter()
        self._dropped: list[RpcChannel] = []
        self._sweeper: asyncio.Task[None] | None = None

    @asynccontextmanager
    async def send(
        self, address: str, keys: tuple[str, ...], forwarded: ForwardedCall
    ) -> AsyncIterator[UpstreamAnswer]:
        body = forwarded.call.body
        msg = _message(keys, as_sent(forwarded))
        if not HELP_CODEC.can_encode(msg):
            raise NotSent("its headers can't be passed on to a helper")
        channel = await self._connected(address)
        check_awaited()
        stream = HelpStream(channel.stream(HELP_METHOD))
        silent_ms = forwarded.silent_ms + HELPER_DELAY_MS
        self._busy[address] += 1
        try:
            first = await self._exchange(stream, msg, silent_ms)
            if isinstance(first, BodyWanted):
                first = await self._send_body(stream, body, silent_ms)
            yield self._answer(stream, first, forwarded, silent_ms)
        except (_ConnectionLost, _BodyNotSent):
            self._drop(address, channel)
            raise
        finally:
            stream.cancel()
            self._busy[address] -= 1
            self._used_ms[address] = self._clock.now_ms()

    async def _connected(self, address: str) -> RpcChannel:
        """Return the channel to a helper, with a connection open.

        Raises
        ------
        HelperUnusable
            When no connection could be opened.
        """
        channel = self._channels.get(address)
        if channel is None:
            channel = self._channels[address] = RpcChannel(
                address, HELP_CODEC, self._tls, HELPER_SILENCE_MS
            )
            if self._sweeper is None or self._sweeper.done():
                self._sweeper = asyncio.ensure_future(self._close_idle())
        self._used_ms[address] = self._clock.now_ms()
        try:
            await self._clock.within_ms(CONNECT_MS, channel.wait_connected())
        except (TimeoutError, grpc.aio.UsageError) as exc:
            if not self._busy[address]:
                self._close(address)
            raise HelperUnusable(f"helper {address} can't be reached") from exc
        return channel

    async def _exchange(
        self, stream: HelpStream, msg: SendCall | SendLongCall, silent_ms: float
    ) -> Any:
        """Ask a helper and return its first message.

        Raises
        ------
        AnswerLost
            When there is none: the helper may have sent the call.
        _BodyNotSent
            When there is none, and the helper hasn't had the body of the call.
        """
        is_whole = isinstance(msg, SendCall)
        try:
            await stream.write(msg)
            if is_whole:
                await stream.done_writing()
        except _STREAM_ERRORS as exc:
            if not is_whole:
                raise _BodyNotSent("the helper is lost, and had no body to send") from exc
            raise _ConnectionLost("helper_lost") from exc
        try:
            return await self._read(stream, silent_ms)
        except AnswerLost as exc:
            if is_whole:
                raise
            raise _BodyNotSent("the helper gave no answer, and had no body to send") from exc

    async def _send_body(self, stream: HelpStream, body: bytes, silent_ms: float) -> Any:
        """Send the body of a call, for which the helper has room, and return what it answers."""
        whole = memoryview(body)
        try:
            for at in range(0, len(body), BODY_PART_BYTES):
                await stream.write(BodyPart(bytes(whole[at : at + BODY_PART_BYTES])))
            await stream.done_writing()
        except _STREAM_ERRORS as exc:
            raise _ConnectionLost("helper_lost") from exc
        return await self._read(stream, silent_ms)

    async def _read(self, stream: Any, silent_ms: float) -> Any:
        try:
            msg = await self._clock.within_ms(silent_ms, stream.read())
        except TimeoutError as exc:
            raise AnswerLost(SILENT) from exc
        except _STREAM_ERRORS as exc:
            raise _ConnectionLost("helper_lost") from exc
        if msg is grpc.aio.EOF:
            raise AnswerLost("helper_lost")
        return msg

    def _answer(
        self, stream: Any, first: Any, forwarded: ForwardedCall, silent_ms: float
    ) -> UpstreamAnswer:
        match first:
            case NotSentByHelper():
                raise not_sent(first)
            case AnswerBroken(reason):
                raise AnswerLost(reason)
            case AnswerBegins(status, headers):
                head = self._interpret.interpret(status, headers, forwarded)
                return UpstreamAnswer(
                    status,
                    headers,
                    head.not_run,
                    head.signals,
                    self._body(stream, silent_ms),
                    is_helped=True,
                    written_by=head.written_by,
                )
        raise AnswerLost("helper_protocol")

    async def _body(self, stream: Any, silent_ms: float) -> AsyncIterator[bytes]:
        while True:
            match await self._read(stream, silent_ms):
                case AnswerPart(data):
                    yield data
                case AnswerEnds():
                    return
                case AnswerBroken(reason):
                    raise AnswerLost(reason)
                case _:
                    raise AnswerLost("helper_protocol")

    async def refuses(self, address: str, keys: tuple[str, ...], port_address: str) -> bool | None:
        try:
            channel = await self._connected(address)
            msg = await channel.call(CHECK_METHOD, CheckPort(keys, port_address), CHECK_MS)
        except (NotSent, ConnectionError) as exc:
            log.info("help: no answer about port %s from %s: %s", port_address, address, exc)
            return None
        return msg.refuses if isinstance(msg, PortChecked) else None

    async def _close_idle(self) -> None:
        while self._channels:
            await self._clock.sleep_ms(IDLE_MS / 4)
            oldest_ms = self._clock.now_ms() - IDLE_MS
            for address in list(self._channels):
                if not self._busy[address] and self._used_ms.get(address, 0) < oldest_ms:
                    self._close(address)

    def _close(self, address: str) -> None:
        self._used_ms.pop(address, None)
        self._busy.pop(address, None)
        channel = self._channels.get(address)
        if channel is not None:
            self._drop(address, channel)

    def _drop(self, address: str, channel: RpcChannel) -> None:
        """Use a connection for no further sends, so that the next one opens another.

        One that has ended looks open for some ms more, and a send would be lost on it. If only a
        part of its sends was lost, the others go on.
        """
        if self._channels.get(address) is not channel:
            return
        del self._channels[address]
        channel.retire()
        self._dropped = [one for one in (*self._dropped, channel) if not one.is_closed]

    async def close(self) -> None:
        """Close every connection."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        for address in list(self._channels):
            self._close(address)
        closing = (channel.close(CLOSE_GRACE_S) for channel in self._dropped)
        # Nothing waits for the end of a connection that is no longer used.
        await asyncio.gather(*closing, return_exceptions=True)


def _message(keys: tuple[str, ...], forwarded: ForwardedCall) -> SendCall | SendLongCall:
    """Return the question to a helper, which holds the body of the call if that is short."""
    call = forwarded.call
    if len(call.body) <= MAX_INLINE_BYTES:
        return SendCall(keys, forwarded)
    without_body = replace(forwarded, call=replace(call, body=b""))
    return SendLongCall(keys, without_body, len(call.body))
