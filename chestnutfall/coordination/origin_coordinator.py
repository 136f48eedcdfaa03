"""What streams began on, during one leader term."""

from __future__ import annotations

import logging
from dataclasses import dataclass

from ..clock import Clock
from ..placement import Grant
from ..placement.placer import Placer
from ..resumption import OriginBook, StreamOrigin
from ..resumption.messages import AnswerOrigin, AskOrigin, HeardOrigins
from .gateway_session import GatewaySession
from .gateway_sessions import GatewaySessions
from .messages import PlaceStream

log = logging.getLogger(__name__)
MAX_ORIGINS = 65_536
"""Ten seconds of streams at the design size; about 30 MB."""
ANSWER_MS = 500
"""Longest wait of a question about an unknown stream for gateways that have not told yet."""
NEW_TERM_MS = 2_000
"""How long a new leader expects the gateways of the last one; a gateway that is not back by then
has ended, and what it knew is lost."""


@dataclass(frozen=True, slots=True)
class _Question:
    """A question about a stream that some gateway may still tell of."""

    session: GatewaySession
    asked: AskOrigin
    until_ms: int


class OriginCoordinator:
    """Knows what the streams of services with several builds began on, and tells gateways.

    A stream is recorded as its place is granted, so before its first event. What was placed by the
    last leader, or without one, or before the service had several builds, its gateway tells.

    A stream that is not known is answered as unknown, and is not resumed: it may have begun on any
    build, also where only one is left.
    """

    def __init__(self, placer: Placer, sessions: GatewaySessions, clock: Clock) -> None:
        self._placer = placer
        self._sessions = sessions
        self._clock = clock
        self._book = OriginBook(MAX_ORIGINS, clock)
        self._expected = 0
        self._expected_until_ms = clock.now_ms() + NEW_TERM_MS
        self._mixed: tuple[str, ...] = ()
        self._told: set[GatewaySession] = set()
        self._placing: dict[str, PlaceStream] = {}
        self._questions: list[_Question] = []

    @property
    def waiting(self) -> int:
        """Number of questions that wait for gateways."""
        return len(self._questions)

    def __len__(self) -> int:
        return len(self._book)

    def add_gateway(self, session: GatewaySession) -> None:
        """Expect a gateway to tell what it knows."""
        self._expected = max(self._expected, session.known_gateways)

    def remove_gateway(self, session: GatewaySession) -> None:
        """Wait no longer for a disconnected gateway."""
        self._told.discard(session)
        self._questions = [one for one in self._questions if one.session is not session]

    def set_mixed(self, mixed: tuple[str, ...]) -> None:
        """Set the services with several builds; of new ones gateways have told nothing yet."""
        if set(mixed) - set(self._mixed):
            self._told.clear()
        if mixed != self._mixed:
            log.info("origins: services with several builds: %s", ",".join(mixed))
        self._mixed = mixed

    def place(self, msg: PlaceStream) -> None:
        """Queue a stream for a place."""
        self._placing[msg.req.ticket] = msg
        self._placer.submit(msg.req, msg.build_key)

    def granted(self, grant: Grant) -> None:
        """Record what a stream begins on, if its place is granted to one."""
        stream = self._placing.pop(grant.ticket, None)
        engine = self._placer.engines.get(grant.instance)
        if stream is None or engine is None:
            return
        origin = StreamOrigin(engine.service, engine.build_key)
        self._book.note(stream.attempt, stream.owner, origin, stream.left_ms)

    def not_granted(self, ticket: str) -> None:
        """Forget a stream that gets no place."""
        self._placing.pop(ticket, None)

    def record(self, session: GatewaySession, heard: HeardOrigins) -> None:
        """Record the streams that a gateway tells of, and answer those who ask for them."""
        for one in heard.origins:
            self._book.note(one.attempt, one.owner, one.origin, one.left_ms)
        if heard.is_whole:
            self._told.add(session)
        self.send_due()

    def ask(self, session: GatewaySession, asked: AskOrigin) -> None:
        """Answer a question, or keep it while a gateway may still tell of the stream."""
        until_ms = self._clock.now_ms() + ANSWER_MS
        self._questions.append(_Question(session, asked, until_ms))
        self.send_due()

    def send_due(self) -> None:
        """Answer the questions that are known or for which nothing more is expected."""
        if not self._questions:
            return
        all_told = not self._mixed or self._all_told()
        left = []
        for question in self._questions:
            asked = question.asked
            origin = self._book.find(asked.attempt, asked.owner)
            if origin is None and not all_told and self._clock.now_ms() < question.until_ms:
                left.append(question)
                continue
            if origin is None:
                log.info("origins: unknown attempt=%s all_told=%s", asked.attempt, all_told)
            question.session.send(AnswerOrigin(asked.number, origin))
        self._questions = left

    def _all_told(self) -> bool:
        """Whether each gateway that may know a stream has told what it knows."""
        is_new = self._clock.now_ms() < self._expected_until_ms
        expected = max(len(self._sessions), self._expected if is_new else 0)
        return len(self._told) >= expected
