"""Upstreams that ask for time, during one term of leading."""

from __future__ import annotations

from collections.abc import Iterable

from ..clock import Clock
from ..control.upstream_record import UpstreamRecord
from ..placement.placer import Placer
from ..signals.backoff_registry import BackoffRegistry
from ..signals.messages import BackoffHints, HeardBackoff
from .gateway_session import GatewaySession
from .gateway_sessions import GatewaySessions

TELL_MS = 100
"""Each gateway that tries a plain upstream finds out by itself; the word spares them that."""
MOST_TOLD = 64
"""Hints in one message; of more upstreams at once, gateways find out about the rest."""


class BackoffDesk:
    """Takes what gateways were asked, and tells the others of plain upstreams.

    Places on engines are given here, by the same book, so that gateways need no word of them.
    """

    def __init__(
        self, book: BackoffRegistry, placer: Placer, sessions: GatewaySessions, clock: Clock
    ) -> None:
        self._book = book
        self._placer = placer
        self._sessions = sessions
        self._clock = clock
        self._news: dict[str, HeardBackoff] = {}
        self._due_ms = clock.now_ms()

    def use(self, serving: Iterable[UpstreamRecord]) -> None:
        """Take over the upstreams that serve now."""
        self._book.forget_absent({one.instance for one in serving})

    def hear(self, session: GatewaySession, heard: HeardBackoff) -> None:
        """Take in what a gateway was asked."""
        is_news = self._book.update(session.gateway, heard)
        if is_news and heard.instance not in self._placer.engines:
            self._news[heard.instance] = heard

    def part(self, session: GatewaySession) -> None:
        """Drop what a gateway was asked that is gone."""
        self._book.forget_gateway(session.gateway)

    def greet(self, session: GatewaySession) -> None:
        """Tell a gateway that has just come."""
        found = (
            one for one in self._book.active_hints() if one.instance not in self._placer.engines
        )
        hints = tuple(found)[-MOST_TOLD:]
        if hints:
            session.send(BackoffHints(hints))

    def carry_out(self) -> None:
        """Tell what is new."""
        now_ms = self._clock.now_ms()
        if not self._news or now_ms < self._due_ms:
            return
        self._due_ms = now_ms + TELL_MS
        hints = tuple(self._news.values())[-MOST_TOLD:]
        self._news.clear()
        self._sessions.tell_all(BackoffHints(hints))
