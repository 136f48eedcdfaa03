"""What the leader does for gateways: sessions that begin and end, and their messages."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from ..accounts import AccountFull
from ..concurrency.messages import EndTurn, RunningCalls, ShortageReport
from ..concurrency.turn_messages import AskTurn
from ..control.crash_messages import AnsweredParts, AnsweredRun, BrokenRun
from ..limits.messages import HeardLimit
from ..paths.leader_messages import CanHelp, LinkReport
from ..placement import PlaceRequest, Reject, RunOutcome
from ..quota.messages import AskQuota, UsedQuota, WasShort
from ..resumption.messages import AskOrigin, HeardOrigins
from ..signals.engine_loads import EngineLoads
from ..signals.messages import HeardBackoff, HeardRejections
from .gateway_session import GatewaySession
from .leader_parts import LeaderParts
from .messages import (
    AnswerRepeat,
    AskRepeat,
    GatewayMessage,
    PlaceStream,
    Release,
    RunningSends,
    SilentRun,
    Withdraw,
)

FULL = "leader_full"
"""Reason of a leader that has no memory for one more request."""
FULL_RETRY_MS = 500
"""Retry delay then; the requests that wait are served or refused within a few seconds."""


class GatewayDuties:
    """Passes what gateways tell and ask to the leader's parts.

    Parameters
    ----------
    leads : callable
        Whether this controller is still the only leader.
    """

    def __init__(self, parts: LeaderParts, leads: Callable[[], bool]) -> None:
        self._parts = parts
        self._leads = leads

    def add(self, session: GatewaySession, document_version: int) -> None:
        """Start to serve a gateway that holds `document_version`."""
        parts = self._parts
        parts.observations.told_suspects(session.suspect_parts)
        parts.sessions.add(session)
        parts.helpers.add(session)
        parts.links.add(session)
        parts.rejections.add_gateway(session)
        parts.origins.add_gateway(session)
        parts.broadcaster.send_initial_state(session, document_version)
        parts.limits.send_initial_state(session)
        parts.backoffs.send_initial_state(session)

    def remove(self, session: GatewaySession) -> None:
        """End a gateway's session and free everything that it held."""
        parts = self._parts
        for ticket in parts.sessions.remove(session):
            parts.placer.withdraw(ticket)
            parts.origins.not_granted(ticket)
        parts.origins.remove_gateway(session)
        parts.helpers.remove(session)
        parts.links.remove(session)
        parts.rejections.remove_gateway(session)
        parts.limits.remove_gateway(session)
        parts.backoffs.remove_gateway(session)

    def handle(self, session: GatewaySession, msg: GatewayMessage) -> bool:
        """Process a message of a gateway, and return whether there may be new decisions to make."""
        parts = self._parts
        match msg:
            case AskRepeat(number, service):
                # A leader that is cut off may have a successor that grants repeats too.
                given = self._leads() and parts.repeats.take(service)
                session.send(AnswerRepeat(number, given))
                return False
            case AskQuota(number, organisation, units):
                # A leader that is cut off does not answer, and its gateways soon leave it.
                if self._leads():
                    session.send(parts.quotas.ask(number, organisation, units))
                return False
            case WasShort(organisations):
                parts.quotas.note_short(organisations)
                return False
            case UsedQuota(uses):
                for use in uses:
                    parts.quotas.charge(use.organisation, use.units)
                parts.broadcaster.send_quotas()
                return False
            case AskOrigin():
                # The successor of a leader that is cut off may know of other streams and builds.
                if self._leads():
                    parts.origins.ask(session, msg)
            case HeardOrigins():
                parts.origins.record(session, msg)
                return False
            case CanHelp():
                parts.helpers.record(session, msg)
                parts.links.record_leaving(session, msg)
                return False
            case LinkReport():
                parts.links.record(session, msg)
            case EngineLoads(slowdowns):
                parts.placer.slowed.note_all(slowdowns)
                return False
            case HeardLimit():
                parts.limits.record_limit(session, msg)
            case HeardRejections():
                parts.rejections.record(msg)
            case RunningSends():
                parts.rejections.adopt(session, msg)
            case HeardBackoff():
                parts.backoffs.record_backoff(session, msg)
            case AskTurn():
                parts.limits.queue_turn(session, msg)
            case EndTurn():
                parts.limits.end_turn(session, msg)
            case RunningCalls() | ShortageReport():
                parts.limits.record_room(session, msg)
            case BrokenRun() | AnsweredRun() | AnsweredParts():
                parts.observations.reported(session.gateway, msg)
                return False
            case PlaceRequest() | PlaceStream():
                return self._place(session, msg)
            case Release(ticket, outcome, times):
                parts.observations.released(session.gateway, ticket, RunOutcome(outcome), times)
                parts.sessions.release_ticket(ticket)
            case SilentRun(ticket):
                parts.placer.note_silent(ticket)
                return False
            case Withdraw(ticket):
                parts.placer.withdraw(ticket)
                parts.origins.not_granted(ticket)
                parts.sessions.release_ticket(ticket)
        return True

    def _place(self, session: GatewaySession, msg: PlaceRequest | PlaceStream) -> bool:
        """Queue a request for a place, and return whether there was memory for it."""
        parts = self._parts
        req = msg.req if isinstance(msg, PlaceStream) else msg
        try:
            parts.sessions.assign_ticket(req, session, partial(self._give_way, req.ticket))
        except AccountFull:
            # The account counts it.
            session.send(Reject(req.ticket, FULL, FULL_RETRY_MS))
            return False
        if isinstance(msg, PlaceStream):
            parts.origins.place(msg)
        else:
            parts.placer.submit(req)
        return True

    def _give_way(self, ticket: str) -> None:
        """Refuse a request that waits, as others need its memory."""
        parts = self._parts
        parts.sessions.send_to_holder(ticket, Reject(ticket, FULL, FULL_RETRY_MS))
        parts.placer.withdraw(ticket)
        parts.origins.not_granted(ticket)
        parts.sessions.release_ticket(ticket)
