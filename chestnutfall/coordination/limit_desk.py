"""Limits that upstreams name, during one term of leading."""

from __future__ import annotations

from collections.abc import Iterable

from ..clock import Clock
from ..control.upstream_record import UpstreamRecord
from ..limits.limit_registry import LimitRegistry
from ..limits.messages import AskTurn, HeardLimit, LimitsInForce, RequestLimit
from ..limits.plain_send_queues import PlainSendQueues
from ..placement.placer import Placer
from ..signals.backoff_registry import BackoffRegistry
from .gateway_session import GatewaySession
from .gateway_sessions import GatewaySessions

TELL_MS = 100
"""Gateways need limits where they send without a word from here; a first one is told at once."""


class LimitDesk:
    """Takes what answers said, tells all gateways, and gives turns at plain upstreams.

    Engines keep their limits in placement, which gives out every send to them.
    """

    def __init__(
        self,
        book: LimitRegistry,
        backoffs: BackoffRegistry,
        placer: Placer,
        sessions: GatewaySessions,
        clock: Clock,
    ) -> None:
        self._book = book
        self._placer = placer
        self._sessions = sessions
        self._clock = clock
        self._serving: dict[str, list[str]] = {}
        self._turns: PlainSendQueues[GatewaySession] = PlainSendQueues(
            book,
            lambda service: self._serving.get(service, []),
            lambda session, instance: backoffs.may_send(session.gateway, instance),
            clock,
        )
        self._told: dict[str, float] = {}
        self._told_changes = 0
        self._due_ms = clock.now_ms()

    @property
    def waiting(self) -> int:
        """Calls that wait for their turn."""
        return self._turns.waiting

    def use(self, serving: Iterable[UpstreamRecord]) -> None:
        """Take over the upstreams that serve now."""
        self._serving = {}
        for one in serving:
            self._serving.setdefault(one.service, []).append(one.instance)
        self._book.forget_absent({one for group in self._serving.values() for one in group})

    def hear(self, session: GatewaySession, heard: HeardLimit) -> None:
        """Take in what an answer said."""
        is_engine = heard.instance in self._placer.engines
        if self._book.update(heard, counts_sends=is_engine):
            self._placer.limit_changed(heard.instance)
            return
        # A gateway that missed how a limit changed would go on by what it knew.
        holds_per_s = self._book.declared_per_s(heard.instance)
        if holds_per_s is None and heard.per_s is not None:
            session.send(LimitsInForce((), (heard.instance,)))
        elif holds_per_s is not None and holds_per_s != heard.per_s:
            session.send(LimitsInForce((RequestLimit(heard.instance, holds_per_s),)))

    def ask(self, session: GatewaySession, asked: AskTurn) -> None:
        """Queue a call that wants a turn."""
        self._turns.enqueue(asked, session)

    def part(self, session: GatewaySession) -> None:
        """Drop the calls of a gateway that is gone."""
        self._turns.drop_gateway(session)

    def greet(self, session: GatewaySession) -> None:
        """Tell a gateway that has just come all limits."""
        limits = self._book.in_force()
        if limits:
            session.send(LimitsInForce(limits))

    def carry_out(self) -> None:
        """Give the turns that are due, and tell what changed."""
        for turn in self._turns.due():
            turn.gateway.send(turn.answer)
        self._tell()

    def _tell(self) -> None:
        now_ms = self._clock.now_ms()
        if self._book.changes == self._told_changes or now_ms < self._due_ms:
            return
        self._told_changes = self._book.changes
        self._due_ms = now_ms + TELL_MS
        limits = {limit.instance: limit for limit in self._book.in_force()}
        changed = [one for name, one in limits.items() if self._told.get(name) != one.per_s]
        ended = [name for name in self._told if name not in limits]
        self._told = {name: one.per_s for name, one in limits.items()}
        if changed or ended:
            self._sessions.tell_all(LimitsInForce(tuple(changed), tuple(ended)))
