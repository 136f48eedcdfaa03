"""The gateway's stream to the leading controller."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
from collections.abc import AsyncIterator, Callable
from typing import Any

import grpc

from ..clock import Clock
from ..control.crash_messages import CrashReport, SuspectRequests
from ..coordination.messages import (
    FLEET_CODEC,
    FLEET_METHOD,
    PULSE_MS,
    AnswerRepeat,
    AskRepeat,
    GatewayHello,
    NotLeading,
    Pulse,
    UpstreamsPart,
)
from ..limits.messages import AnswerTurn, AskTurn, HeardLimit, LimitsInForce
from ..placement import Grant, PlaceRequest, Reject
from ..quota.messages import AnswerQuota, AskQuota, QuotaNews, WasShort
from ..signals.messages import BackoffHints, HeardBackoff
from ..wire import RpcChannel
from .fleet_knowledge import FleetKnowledge
from .leader_patience import LeaderPatience
from .recent_reports import RecentReports

log = logging.getLogger(__name__)
SILENT_MS = 3 * PULSE_MS
ISOLATED_MS = 1_500
"""Time to ask each of five controllers twice."""
CONNECT_MS = 150
"""A connection takes some ms; a host that is down or cut off never answers."""
RETRY_MS = 60
"""A tenth of an election; a controller answers a stream in a few ms."""
REPEAT_MS = 100
"""The leader answers at once; a repeat that waits longer for it comes too late to help."""
TURN_MS = 100
"""The same for a turn at an upstream, beyond the time that the call may wait for it."""
CLOSE_S = 0.2
"""A dead connection must not hold up the search for the next leader."""


class LeaderLost(ConnectionError):
    """There is no stream to a leader now; the request was not placed."""


class FleetClient:
    """Follows the leader and asks it for places.

    Attributes
    ----------
    knowledge : FleetKnowledge
        What the leader told last.
    connected : bool
        Whether a stream to a leader is up.
    on_suspects : callable
        Told which requests may end upstreams.
    on_quotas : callable
        Told which organisations are short of their quota.
    was_short : callable
        What to tell a new leader of those that were.
    on_limits : callable
        Told which upstreams name limits.
    on_hints : callable
        Told which plain upstreams asked other gateways for time.
    heard_again : callable
        What to tell a new leader of what upstreams said.
    """

    def __init__(
        self,
        gateway: str,
        controllers: tuple[str, ...],
        knowledge: FleetKnowledge,
        clock: Clock,
    ) -> None:
        self._gateway = gateway
        self._first = controllers
        self.knowledge = knowledge
        self._clock = clock
        self.connected = False
        self._answered_ms = clock.now_ms()
        self._patience = LeaderPatience()
        self._out: asyncio.Queue[Any] = asyncio.Queue()
        self._asked: dict[str | int, asyncio.Future[Any]] = {}
        self._numbers = itertools.count()
        self._up = asyncio.Event()
        self._reports = RecentReports(clock)
        self.on_suspects: Callable[[SuspectRequests], None] = lambda suspects: None
        self.on_quotas: Callable[[QuotaNews], None] = lambda news: None
        self.was_short: Callable[[], WasShort] = lambda: WasShort(())
        self.on_limits: Callable[[LimitsInForce], None] = lambda limits: None
        self.on_hints: Callable[[BackoffHints], None] = lambda hints: None
        self.heard_again: Callable[[], tuple[HeardLimit | HeardBackoff, ...]] = lambda: ()

    def use_controllers(self, controllers: tuple[str, ...]) -> None:
        """Take the controllers that changed settings name."""
        self._first = controllers

    # Asking

    def tell(self, msg: Any) -> None:
        """Send a message that needs no answer; it is dropped without a leader."""
        if self.connected:
            self._out.put_nowait(msg)

    def report(self, msg: CrashReport) -> None:
        """Send a report, and once more to a leader that may not have heard of it."""
        self._reports.note(msg)
        self.tell(msg)

    async def place(self, req: PlaceRequest) -> Grant | Reject:
        """Ask for a place.

        Raises
        ------
        LeaderLost
        """
        answer: Grant | Reject = await self._ask(req.ticket, req)
        return answer

    async def borrow_repeat(self, service: str) -> bool:
        """Ask for one repeat beyond this gateway's own share; False without a leader."""
        asking = self.ask_numbered(lambda number: AskRepeat(number, service))
        try:
            answer: AnswerRepeat = await self._clock.within_ms(REPEAT_MS, asking)
        except (LeaderLost, TimeoutError):
            return False
        return answer.given

    async def ask_turn(
        self, service: str, avoid: tuple[str, ...], organisation: str, rank: int, wait_ms: int
    ) -> AnswerTurn:
        """Ask for a send to an upstream of a plain service that names a limit.

        Raises
        ------
        LeaderLost
        """
        asking = self.ask_numbered(
            lambda number: AskTurn(number, service, avoid, organisation, rank, wait_ms)
        )
        try:
            answer: AnswerTurn = await self._clock.within_ms(wait_ms + TURN_MS, asking)
        except TimeoutError as exc:
            raise LeaderLost("no answer for a turn") from exc
        return answer

    async def ask_numbered(self, question: Callable[[int], AskRepeat | AskQuota | AskTurn]) -> Any:
        """Ask a question that is named by a number, and wait for its answer.

        Raises
        ------
        LeaderLost
        """
        number = next(self._numbers)
        return await self._ask(number, question(number))

    async def _ask(self, key: str | int, msg: PlaceRequest | AskRepeat | AskQuota | AskTurn) -> Any:
        """Send a message and wait for the answer that names `key`.

        Raises
        ------
        LeaderLost
        """
        if not self.connected:
            raise LeaderLost("no leader")
        fut: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._asked[key] = fut
        self._out.put_nowait(msg)
        try:
            return await fut
        finally:
            self._asked.pop(key, None)

    @property
    def isolated(self) -> bool:
        """Whether no controller answered for some time, not even that it doesn't lead."""
        return self._clock.now_ms() - self._answered_ms > ISOLATED_MS

    async def until_connected(self, within_ms: float) -> bool:
        """Wait for a leader; False when there is none in time."""
        with contextlib.suppress(TimeoutError):
            await self._clock.within_ms(within_ms, self._up.wait())
        return self.connected

    # The stream

    async def run(self) -> None:
        """Find the leader and follow it, until cancelled."""
        turn = 0
        hint = ""
        while True:
            known = list(dict.fromkeys((*self._first, *self.knowledge.controllers)))
            address = hint or known[turn % len(known)]
            turn += 1
            try:
                hint = await self._follow(address)
            except Exception:
                # Nobody waits for this task. If one strange message or an error of the RPC
                # library ended it, the gateway would stay without a leader until its restart.
                log.exception("leader: address=%s following failed", address)
                hint = ""
            if not hint:
                await self._clock.sleep_ms(RETRY_MS)

    async def _follow(self, address: str) -> str:
        """Serve one stream to its end; the address of the leader if that was told."""
        # A connection made for each stream can't be one that something between us forgot.
        channel = RpcChannel(address, FLEET_CODEC)
        try:
            await self._clock.within_ms(CONNECT_MS, channel.connected())
            return await self._converse(address, channel.stream(FLEET_METHOD))
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError, TimeoutError) as exc:
            log.info("leader: address=%s stream ended: %s", address, _short(exc))
            return ""
        finally:
            with contextlib.suppress(Exception):
                await self._clock.within_ms(CLOSE_S * 1000, channel.close())

    async def _converse(self, address: str, stream: Any) -> str:
        """Take messages until the stream ends; the address of the leader if that was told."""
        writer = asyncio.ensure_future(self._write(stream))
        try:
            async for msg in self._read(stream, address):
                if isinstance(msg, NotLeading):
                    return msg.leader
                self._take(msg, address)
            return ""
        finally:
            self._lose(address)
            writer.cancel()
            stream.cancel()

    async def _write(self, stream: Any) -> None:
        self._out = asyncio.Queue()
        try:
            was_short = self.was_short()
            hello = GatewayHello(self._gateway, self.knowledge.version)
            await stream.write(hello)
            if was_short.organisations:
                await stream.write(was_short)
            for heard in self.heard_again():
                await stream.write(heard)
            while True:
                await stream.write(await self._out.get())
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError) as exc:
            log.debug("leader: writing ended: %s", _short(exc))

    async def _read(self, stream: Any, address: str) -> AsyncIterator[Any]:
        try:
            msg = await self._clock.within_ms(self._patience.wait_ms(address), stream.read())
        except TimeoutError:
            self._patience.was_silent(address)
            raise
        self._patience.spoke(address)
        while msg is not grpc.aio.EOF:
            self._answered_ms = self._clock.now_ms()
            yield msg
            msg = await self._clock.within_ms(SILENT_MS, stream.read())

    def _take(self, msg: Any, address: str) -> None:
        match msg:
            case Grant(key) | Reject(key) | AnswerRepeat(key) | AnswerQuota(key) | AnswerTurn(key):
                fut = self._asked.get(key)
                if fut is not None and not fut.done():
                    fut.set_result(msg)
            case Pulse():
                pass
            case SuspectRequests():
                self.on_suspects(msg)
            case QuotaNews():
                self.on_quotas(msg)
            case LimitsInForce():
                self.on_limits(msg)
            case BackoffHints():
                self.on_hints(msg)
            case news:
                self.knowledge.take(news)
                is_whole = isinstance(news, UpstreamsPart) and news.complete
                if is_whole and not self.connected:
                    self._join(address)

    def _join(self, address: str) -> None:
        self.connected = True
        self._up.set()
        log.info("leader: connected address=%s", address)
        # What answers said since the first words of this stream were written was told to nobody.
        for heard in self.heard_again():
            self.tell(heard)
        # The leader before may have ended with these, or they came while there was none.
        for report in self._reports.again():
            self.tell(report)

    def _lose(self, address: str) -> None:
        if self.connected:
            log.warning("leader: lost address=%s waiting=%d", address, len(self._asked))
        self.connected = False
        self._up.clear()
        for fut in self._asked.values():
            if not fut.done():
                fut.set_exception(LeaderLost(address))


def _short(exc: BaseException) -> str:
    if isinstance(exc, grpc.aio.AioRpcError):
        return f"{exc.code().name} {exc.details()}"
    return repr(exc)
