"""The gateway's message stream to the leading controller."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable
from typing import Any, TypeVar

from ..clock import Clock
from ..concurrency.messages import RoomInForce, RunningCalls
from ..concurrency.turn_messages import AnswerTurn
from ..control.crash_messages import CrashReport, SuspectRequests
from ..coordination.messages import (
    AnswerRepeat,
    GatewayHello,
    NotLeading,
    Pulse,
    RunningSends,
    UpstreamsPart,
)
from ..limits.messages import HeardLimit, LimitsInForce
from ..paths.leader_messages import CanHelp, HelperGateways, HelpersByUpstream, LinkReport
from ..placement import Grant, Reject
from ..quota.messages import AnswerQuota, QuotaNews, WasShort
from ..resumption.messages import AnswerOrigin, HeardOrigins
from ..signals.messages import BackoffHints, HeardBackoff, HeardRejections, RejectionsInForce
from .fleet_knowledge import FleetKnowledge
from .leader_questions import LeaderQuestions
from .leader_stream import LeaderStream, StreamListener
from .recent_reports import RecentReports

log = logging.getLogger(__name__)
ISOLATED_MS = 1_500
"""Time without any controller's message after which the gateway counts as isolated; enough to ask
each of five controllers twice."""


Update = TypeVar(
    "Update",
    SuspectRequests,
    QuotaNews,
    LimitsInForce,
    BackoffHints,
    RoomInForce,
    HelperGateways,
    HelpersByUpstream,
    RejectionsInForce,
)
Resent = (
    HeardLimit
    | HeardBackoff
    | HeardRejections
    | RunningCalls
    | RunningSends
    | CanHelp
    | LinkReport
    | HeardOrigins
)


class FleetClient(StreamListener):
    """Finds the leading controller and exchanges messages with it.

    Attributes
    ----------
    knowledge : FleetKnowledge
        Routes, upstreams and adapter holders as last received from a leader.
    connected : bool
        Whether there is a stream to a leader, and it has sent all upstreams.
    questions : LeaderQuestions
        Asks the leader for decisions.
    shortage_report : callable
        Returns the organisations that were short of quota, for a new leader.
    signals_to_resend : callable
        Returns what this gateway knows of upstreams and a new leader does not: limits, backoffs,
        running calls, streams, and whether it can help others.
    on_knowledge : callable
        Called after each change of `knowledge`.
    suspect_parts : callable
        Returns the prompt parts that a new leader has to suspect.

    Parameters
    ----------
    helper_address, data_centre : str
        Where this gateway takes calls of gateways that are cut off, and its data centre; empty if
        it takes none.
    """

    def __init__(
        self,
        gateway: str,
        controllers: tuple[str, ...],
        knowledge: FleetKnowledge,
        clock: Clock,
        helper_address: str = "",
        data_centre: str = "",
    ) -> None:
        self._gateway = gateway
        self._helper_address, self._data_centre = helper_address, data_centre
        self._configured = controllers
        self.knowledge = knowledge
        self._clock = clock
        self.connected = False
        self._answered_ms = self._lost_ms = clock.now_ms()
        self._out: asyncio.Queue[Any] = asyncio.Queue()
        self.questions = LeaderQuestions(self, clock)
        self._connected_event = asyncio.Event()
        self._reports = RecentReports(clock)
        self._handlers: dict[type, Callable[[Any], None]] = {}
        self.shortage_report: Callable[[], WasShort] = lambda: WasShort(())
        self.signals_to_resend: Callable[[], tuple[Resent, ...]] = lambda: ()
        self.on_knowledge: Callable[[], None] = lambda: None
        self.suspect_parts: Callable[[], tuple[str, ...]] = lambda: ()

    def on(self, kind: type[Update], handler: Callable[[Update], None]) -> None:
        """Call `handler` with each message of this type from the leader."""
        self._handlers[kind] = handler

    def use_controllers(self, controllers: tuple[str, ...]) -> None:
        """Replace the configured controller addresses after a change of the settings."""
        self._configured = controllers

    # Messages

    def send(self, msg: Any) -> None:
        """Send a message that needs no answer; it is dropped while there is no leader."""
        if self.connected:
            self._out.put_nowait(msg)

    def report(self, msg: CrashReport) -> None:
        """Send a crash report now, and again to each new leader for a limited time."""
        self._reports.note(msg)
        self.send(msg)

    @property
    def leaderless_ms(self) -> int:
        """Time since the loss of the last leader; 0 while there is one."""
        return 0 if self.connected else self._clock.now_ms() - self._lost_ms

    @property
    def isolated(self) -> bool:
        """Whether no controller, leading or not, has sent a message for `ISOLATED_MS`."""
        return self._clock.now_ms() - self._answered_ms > ISOLATED_MS

    async def wait_for_leader(self, within_ms: float) -> bool:
        """Wait up to `within_ms` for a leader; return whether there is one."""
        with contextlib.suppress(TimeoutError):
            await self._clock.within_ms(within_ms, self._connected_event.wait())
        return self.connected

    # Stream to the leader

    async def run(self) -> None:
        """Find the leader and stay connected to it, until cancelled."""
        await LeaderStream(self, self._clock).run()

    @property
    def controllers(self) -> list[str]:
        """Addresses of all controllers known, without repeats."""
        return list(dict.fromkeys((*self._configured, *self.knowledge.controllers)))

    def on_opened(self) -> asyncio.Queue[Any]:
        """Return the queue of messages for a new stream, with those for a new leader in it."""
        self._out = asyncio.Queue()
        self._out.put_nowait(
            GatewayHello(
                self._gateway,
                self.knowledge.version,
                self._helper_address,
                self._data_centre,
                self.knowledge.gateways,
                self.suspect_parts(),
            )
        )
        shortage_report = self.shortage_report()
        if shortage_report.organisations:
            self._out.put_nowait(shortage_report)
        for signal in self.signals_to_resend():
            self._out.put_nowait(signal)
        return self._out

    def on_message(self, msg: Any, address: str) -> None:
        """Handle a message of the controller at `address`."""
        self._answered_ms = self._clock.now_ms()
        match msg:
            case (
                Grant(key)
                | Reject(key)
                | AnswerRepeat(key)
                | AnswerQuota(key)
                | AnswerTurn(key)
                | AnswerOrigin(key)
            ):
                self.questions.answer(key, msg)
            case Pulse() | NotLeading():
                pass
            case (
                SuspectRequests()
                | QuotaNews()
                | LimitsInForce()
                | BackoffHints()
                | RoomInForce()
                | HelperGateways()
                | HelpersByUpstream()
                | RejectionsInForce()
            ):
                if (handler := self._handlers.get(type(msg))) is not None:
                    handler(msg)
            case update:
                self.knowledge.apply(update)
                self.on_knowledge()
                is_whole = isinstance(update, UpstreamsPart) and update.complete
                if is_whole and not self.connected:
                    self._on_connected(address)

    def _on_connected(self, address: str) -> None:
        self.connected = True
        self._connected_event.set()
        log.info("leader: connected address=%s", address)
        # Signals received from upstreams since this stream began were not sent to any leader.
        for signal in self.signals_to_resend():
            self.send(signal)
        # The previous leader may have ended before it stored these reports, or they were made while
        # there was no leader.
        for report in self._reports.to_resend():
            self.send(report)

    def on_lost(self, address: str) -> None:
        """Note that the stream ended; open questions get no answer."""
        if self.connected:
            log.warning("leader: lost address=%s waiting=%d", address, self.questions.waiting)
            self._lost_ms = self._clock.now_ms()
        self.connected = False
        self._connected_event.clear()
        self.questions.fail(address)
