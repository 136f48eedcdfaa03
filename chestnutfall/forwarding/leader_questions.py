"""Questions of a gateway that the leading controller decides."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import Any, Protocol

from ..clock import Clock
from ..concurrency.messages import EndTurn
from ..concurrency.turn_messages import AnswerTurn, AskTurn
from ..coordination.messages import AnswerRepeat, AskRepeat, PlaceStream
from ..placement import Grant, PlaceRequest, Reject, RunOutcome
from ..quota.messages import AskQuota
from ..resumption import StreamOrigin
from ..resumption.messages import AnswerOrigin, AskOrigin

REPEAT_TIMEOUT_MS = 100
"""Longest wait for a repeat from the leader, which answers at once; a later repeat comes too late
to help the client."""
ORIGIN_TIMEOUT_MS = 700
"""Longest wait for the leader's answer about a stream; it may wait for other gateways before."""
TURN_TIMEOUT_MS = 100
"""Longest wait for the leader's answer about a turn, beyond the time that the call may wait for the
turn itself."""

Question = PlaceRequest | PlaceStream | AskRepeat | AskQuota | AskTurn | AskOrigin


class LeaderLost(ConnectionError):
    """There is no stream to a leader; the question was not answered."""


class QuestionStream(Protocol):
    """The stream that carries questions; `connected` while there is a leader."""

    connected: bool

    def send(self, msg: Any) -> None:
        """Send a message; it is dropped while there is no leader."""


class LeaderQuestions:
    """Asks the leader for decisions, and hands each answer to whoever asked."""

    def __init__(self, stream: QuestionStream, clock: Clock) -> None:
        self._stream = stream
        self._clock = clock
        self._pending: dict[str | int, asyncio.Future[Any]] = {}
        self._numbers = itertools.count()

    @property
    def waiting(self) -> int:
        """Number of questions without an answer."""
        return len(self._pending)

    def answer(self, key: str | int, msg: Any) -> None:
        """Hand an answer to the question that has this key."""
        fut = self._pending.get(key)
        if fut is not None and not fut.done():
            fut.set_result(msg)

    def fail(self, address: str) -> None:
        """End all open questions, as the stream to the leader at `address` ended."""
        for fut in self._pending.values():
            if not fut.done():
                fut.set_exception(LeaderLost(address))

    async def place(self, asked: PlaceRequest | PlaceStream) -> Grant | Reject:
        """Ask the leader to select an engine for a call.

        Raises
        ------
        LeaderLost
            When there is no leader, or the stream ends before the answer.
        """
        req = asked.req if isinstance(asked, PlaceStream) else asked
        answer: Grant | Reject = await self._ask(req.ticket, asked)
        return answer

    async def ask_origin(self, attempt: str, owner: str) -> StreamOrigin | None:
        """Ask what a stream began on; None if no gateway that the leader reaches knows.

        Raises
        ------
        LeaderLost
            When there is no leader, or it does not answer in time.
        """
        asking = self.ask_numbered(lambda number: AskOrigin(number, attempt, owner))
        try:
            answer: AnswerOrigin = await self._clock.within_ms(ORIGIN_TIMEOUT_MS, asking)
        except TimeoutError as exc:
            raise LeaderLost("the leader did not answer a question in time") from exc
        return answer.origin

    async def borrow_repeat(self, service: str) -> bool:
        """Ask for one repeat beyond this gateway's own share.

        Returns False if the leader gives none, there is no leader, or it does not answer in time.
        """
        asking = self.ask_numbered(lambda number: AskRepeat(number, service))
        try:
            answer: AnswerRepeat = await self._clock.within_ms(REPEAT_TIMEOUT_MS, asking)
        except (LeaderLost, TimeoutError):
            return False
        return answer.given

    async def ask_turn(self, question: Callable[[int], AskTurn], wait_ms: int) -> AnswerTurn:
        """Ask for a turn to send to one of a plain service's limited or full upstreams.

        Parameters
        ----------
        question : callable
            Makes the message from its number.
        wait_ms : int
            How long the call may wait for its turn.

        Raises
        ------
        LeaderLost
            When there is no leader, or it does not answer in time.
        """
        number = next(self._numbers)
        asking = self._ask(number, question(number))
        try:
            answer: AnswerTurn = await self._clock.within_ms(wait_ms + TURN_TIMEOUT_MS, asking)
        except TimeoutError as exc:
            self._withdraw_turn(number)
            raise LeaderLost("the leader did not answer a request for a turn in time") from exc
        except asyncio.CancelledError:
            # Without this, the turn of a call whose client has left would hold a place until it
            # expires.
            self._withdraw_turn(number)
            raise
        return answer

    def _withdraw_turn(self, number: int) -> None:
        self._stream.send(EndTurn(number, "", RunOutcome.WITHDRAWN.value))

    async def ask_numbered(
        self, question: Callable[[int], AskRepeat | AskQuota | AskOrigin]
    ) -> Any:
        """Ask a question that is identified by a number, and return its answer.

        Parameters
        ----------
        question : callable
            Makes the message from the number.

        Raises
        ------
        LeaderLost
            When there is no leader, or the stream ends before the answer.
        """
        number = next(self._numbers)
        return await self._ask(number, question(number))

    async def _ask(self, key: str | int, msg: Question) -> Any:
        """Send a message and wait for the answer that carries `key`.

        Raises
        ------
        LeaderLost
            When there is no leader, or the stream ends before the answer.
        """
        if not self._stream.connected:
            raise LeaderLost("no stream to a leader")
        fut: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending[key] = fut
        self._stream.send(msg)
        try:
            return await fut
        finally:
            self._pending.pop(key, None)
